#pragma once

/** @file Public header of the connection rules that do not depend on a transport. */

#include "Connection/ConnectionError.h"
#include "Connection/ConnectionReuse.h"
#include "Connection/TransferRate.h"
#include "Core/Core.h"
