#pragma once

/** @file Public header of encodings that several libraries use. */

#include "Core/Core.h"
#include "Core/Encoding/Base64.h"
#include "Core/Encoding/Digest.h"
