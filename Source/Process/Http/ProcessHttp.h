#pragma once

/** @file Public header of the HTTP clients for the platform and of the admin endpoint. */

#include "Process/Http/AdminServer.h"
#include "Process/Http/AdminService.h"
#include "Process/Http/ClaimRowCodec.h"
#include "Process/Http/ClaimStoreClient.h"
#include "Process/Http/MemberStoreClient.h"
#include "Process/Http/PlatformClient.h"
#include "Process/Http/PresetCodec.h"
#include "Process/Http/PresetStoreClient.h"
#include "Process/Http/TableClient.h"
#include "Process/Process.h"
