/* What a node tells of itself on its peers' port (`GET /status`), for operators and their tools.
 * The fields are listed in docs/operations.md; names stay as they are. */
#ifndef RP_STATUS_H
#define RP_STATUS_H

#include "controller/node.h"

/* The node's state, counters and latencies as JSON; the caller frees it. NULL: out of memory. */
char *rp_status_json(const struct rp_node *node);

#endif
