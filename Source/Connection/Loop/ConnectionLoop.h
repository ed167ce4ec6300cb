#pragma once

/** @file Public header of HTTP connections served by an event loop. */

#include "Connection/Connection.h"
#include "Connection/Loop/BodyDecoder.h"
#include "Connection/Loop/CallerSession.h"
#include "Connection/Loop/HeadBuffer.h"
#include "Connection/Loop/LoopContext.h"
#include "Connection/Loop/RequestReader.h"
#include "Connection/Loop/ResponseReader.h"
#include "Connection/Loop/Upstream.h"
#include "Connection/Loop/UpstreamConnection.h"
#include "Request/Http/RequestHttp.h"
