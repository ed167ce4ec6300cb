#pragma once

/** @file Public header of the HTTP encoding of requests and outcomes. */

#include "Request/Http/AnswerWriter.h"
#include "Request/Http/HeadParser.h"
#include "Request/Http/HeaderNames.h"
#include "Request/Http/RequestMapper.h"
#include "Request/Request.h"
