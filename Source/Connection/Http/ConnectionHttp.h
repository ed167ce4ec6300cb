#pragma once

/** @file Public header of HTTP connections served by blocking threads. */

#include "Connection/Connection.h"
#include "Connection/Http/AcceptSocket.h"
#include "Connection/Http/CallerConnection.h"
#include "Connection/Http/CallerListener.h"
#include "Connection/Http/ChunkSource.h"
#include "Connection/Http/ChunkedBodyReader.h"
#include "Connection/Http/ConnectionPool.h"
#include "Connection/Http/CountingSocketImpl.h"
#include "Connection/Http/HttpExchange.h"
#include "Connection/Http/HttpMessageReader.h"
#include "Connection/Http/HttpTransport.h"
#include "Connection/Http/LingeringSockets.h"
#include "Connection/Http/TrafficService.h"
#include "Connection/Http/UpstreamSession.h"
#include "Request/Http/RequestHttp.h"
