#pragma once

/** @file Public header of the types that live for one version of the configuration. */

#include "Core/Core.h"
#include "Version/ActivePreset.h"
#include "Version/AppliedPreset.h"
#include "Version/Preset.h"
#include "Version/PresetSnapshot.h"
#include "Version/RouteTable.h"
#include "Version/VersionError.h"
#include "Version/Workspace.h"
