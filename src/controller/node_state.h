/** @file
 * The role of a node in the cluster. The state is owned by the node (node.h), whose set_state is
 * the only function that changes it; the other modules of this directory read it through a pointer.
 */
#ifndef RP_CONTROLLER_NODE_STATE_H
#define RP_CONTROLLER_NODE_STATE_H

/** The node's role in the management of machines and jobs; every node serves users in each of these
 * states. */
enum rp_node_state {
    RP_NODE_FOLLOWING,  /* another node leads, or none: workers are redirected to the leader */
    RP_NODE_RECOVERING, /* holds the leader's key and reads the stored records */
    RP_NODE_LEADING     /* sends commands to workers and requests to the cloud */
};

/** The state's name, as shown by `GET /status`. */
const char *rp_node_state_name(enum rp_node_state state);

#endif
