#pragma once

/** @file Public header of the readers of YAML settings. */

#include "Process/Process.h"
#include "Process/Yaml/GatewaySettingsReader.h"
#include "Process/Yaml/SettingsReader.h"
