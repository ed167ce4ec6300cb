#pragma once

/** @file Public header of the decisions that live for one connection. */

#include "Connection/ConnectionError.h"
#include "Connection/ReuseRule.h"
#include "Core/Core.h"
