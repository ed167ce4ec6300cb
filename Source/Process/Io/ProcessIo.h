#pragma once

/** @file Public header of the process's threads and logging. */

#include "Process/Io/ControlThread.h"
#include "Process/Io/EventFormat.h"
#include "Process/Io/EventLog.h"
#include "Process/Io/IoThreadPool.h"
#include "Process/Io/StructuredLog.h"
#include "Process/Process.h"
