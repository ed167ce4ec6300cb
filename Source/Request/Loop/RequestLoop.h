#pragma once

/** @file Public header of requests that an event loop takes to their reply. */

#include "Connection/Loop/ConnectionLoop.h"
#include "Request/Loop/ProxyExchange.h"
#include "Request/Loop/TrafficHost.h"
