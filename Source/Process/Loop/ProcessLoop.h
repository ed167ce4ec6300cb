#pragma once

/** @file Public header of the process-lifetime objects that run on an event loop. */

#include "Process/Loop/AllowanceCodec.h"
#include "Process/Loop/AllowanceLink.h"
#include "Process/Loop/AllowanceServer.h"
#include "Process/Loop/ConnectionListener.h"
#include "Process/Loop/DatagramSocket.h"
#include "Process/Loop/Gateway.h"
#include "Process/Loop/PlatformSession.h"
#include "Process/Loop/RelayCodec.h"
#include "Process/Loop/RelayLink.h"
#include "Process/Loop/RelayServer.h"
#include "Process/Loop/SessionPool.h"
#include "Process/Loop/StatusHandler.h"
#include "Process/Loop/TableFollower.h"
#include "Process/Process.h"
#include "Request/Loop/RequestLoop.h"
