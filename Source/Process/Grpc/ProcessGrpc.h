#pragma once

/** @file Public header of the gRPC calls between VMs. */

#include "Process/Grpc/PeerClient.h"
#include "Process/Grpc/PeerCodec.h"
#include "Process/Grpc/PeerServer.h"
#include "Process/Process.h"
