#pragma once

/** @file Public header of the gRPC front end between the VMs. */

#include "Process/Grpc/PeerClient.h"
#include "Process/Grpc/PeerCodec.h"
#include "Process/Grpc/PeerServer.h"
#include "Process/Process.h"
