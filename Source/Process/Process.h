#pragma once

/** @file Public header of what lives as long as the process: control state, limits and metrics. */

#include "Process/ControlMessage.h"
#include "Process/ControlState.h"
#include "Process/FleetSnapshot.h"
#include "Process/InputRefusalLog.h"
#include "Process/Metrics.h"
#include "Process/PresetSwitcher.h"
#include "Process/ProcessError.h"
#include "Process/RetryBudget.h"
#include "Process/ServiceGate.h"
#include "Process/ServiceView.h"
#include "Process/Settings.h"
#include "Process/TableService.h"
#include "Process/TargetLoad.h"
