#pragma once

/** @file Public header of the core types: identifiers, time, errors, random numbers and events. */

#include "Core/CoreError.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Core/Event.h"
#include "Core/Identifier.h"
#include "Core/Parse.h"
#include "Core/RandomSource.h"
#include "Core/Result.h"
#include "Core/Text.h"
#include "Core/Time.h"
#include "Core/Units.h"
