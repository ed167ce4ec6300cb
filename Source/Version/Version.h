#pragma once

/** @file Public header of what lives for one version of the preset in force. */

#include "Core/Core.h"
#include "Version/InForce.h"
#include "Version/Preset.h"
#include "Version/PresetRegister.h"
#include "Version/PresetSnapshot.h"
#include "Version/RouteTable.h"
#include "Version/VersionError.h"
