#pragma once

/** @file Public header of the YAML encoding of presets, and of strict YAML reading. */

#include "Version/Version.h"
#include "Version/Yaml/PresetReader.h"
#include "Version/Yaml/YamlFile.h"
#include "Version/Yaml/YamlSection.h"
