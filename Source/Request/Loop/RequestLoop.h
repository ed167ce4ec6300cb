#pragma once

/** @file Public header of the proxying of requests on an event loop. */

#include "Connection/Loop/ConnectionLoop.h"
#include "Request/Loop/AttemptSet.h"
#include "Request/Loop/LatencyHedge.h"
#include "Request/Loop/ProxyExchange.h"
#include "Request/Loop/TrafficEnvironment.h"
