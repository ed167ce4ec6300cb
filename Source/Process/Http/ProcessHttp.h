#pragma once

/** @file Public header of the process's HTTP clients of the platform and its admin endpoint. */

#include "Process/Http/AdminServer.h"
#include "Process/Http/AdminService.h"
#include "Process/Http/ClaimRowCodec.h"
#include "Process/Http/ClaimStoreClient.h"
#include "Process/Http/PlatformClient.h"
#include "Process/Http/PresetStoreClient.h"
#include "Process/Http/RowCodec.h"
#include "Process/Http/TableClient.h"
#include "Process/Process.h"
