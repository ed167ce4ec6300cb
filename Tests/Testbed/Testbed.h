#pragma once

/** @file Public header of the stand-ins that tests and measurements run against. */

#include "Testbed/HttpStandin.h"
#include "Testbed/Platform.h"
#include "Testbed/Target.h"
