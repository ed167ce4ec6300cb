#pragma once

/** @file Public header of the fake servers and the load generator for tests and benchmarks. */

#include "Testbed/Demo.h"
#include "Testbed/ExecutionCounter.h"
#include "Testbed/FakePlatform.h"
#include "Testbed/FakeTarget.h"
#include "Testbed/FieldTable.h"
#include "Testbed/LoadCaller.h"
#include "Testbed/LoadOptions.h"
#include "Testbed/LoadPlan.h"
#include "Testbed/LoadTestReport.h"
#include "Testbed/NoisyNeighbour.h"
#include "Testbed/PlatformData.h"
#include "Testbed/PlatformFaults.h"
#include "Testbed/ResponseBody.h"
#include "Testbed/ResponseMode.h"
#include "Testbed/SlotQueue.h"
#include "Testbed/StopEvent.h"
#include "Testbed/TargetBehaviour.h"
#include "Testbed/TestHttpServer.h"
#include "Testbed/TestbedError.h"
