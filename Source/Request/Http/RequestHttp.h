#pragma once

/** @file Public header of the HTTP encoding of requests and outcomes. */

#include "Request/Http/HeadParser.h"
#include "Request/Http/HeaderNames.h"
#include "Request/Http/RequestMapper.h"
#include "Request/Http/ResponseEncoder.h"
#include "Request/Request.h"
