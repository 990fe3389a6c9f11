/** @file
 * All codecs, for sources that include this header by its earlier name. */
#ifndef RP_PROTOCOL_WIRE_H
#define RP_PROTOCOL_WIRE_H

#include "protocol/cloud_codec.h"
#include "protocol/codec.h"
#include "protocol/job_codec.h"
#include "protocol/kv_codec.h"
#include "protocol/user_codec.h"
#include "protocol/worker_codec.h"

#endif
