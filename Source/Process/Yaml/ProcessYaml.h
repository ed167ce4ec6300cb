#pragma once

/** @file Public header of the YAML encoding of settings. */

#include "Process/Process.h"
#include "Process/Yaml/GatewaySettingsReader.h"
#include "Process/Yaml/SettingsReader.h"
