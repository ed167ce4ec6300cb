#pragma once

/** @file Public header of the YAML reader of presets and of strict YAML parsing. */

#include "Version/Version.h"
#include "Version/Yaml/PresetReader.h"
#include "Version/Yaml/YamlFile.h"
#include "Version/Yaml/YamlSection.h"
