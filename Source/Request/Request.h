#pragma once

/** @file Public header of what lives for one request: its description, attempts and decisions. */

#include "Request/AgedEstimateSelector.h"
#include "Request/AttemptResult.h"
#include "Request/Claim.h"
#include "Request/ClaimMachine.h"
#include "Request/HeaderField.h"
#include "Request/LeastInFlightSelector.h"
#include "Request/PowerOfTwoSelector.h"
#include "Request/RampShare.h"
#include "Request/RandomSelector.h"
#include "Request/Reasons.h"
#include "Request/RequestClaim.h"
#include "Request/RequestExecutor.h"
#include "Request/RequestInfo.h"
#include "Request/RequestPorts.h"
#include "Request/RetryDecision.h"
#include "Request/RoundRobinSelector.h"
#include "Request/TargetLease.h"
#include "Request/TargetSelector.h"
#include "Version/Version.h"
