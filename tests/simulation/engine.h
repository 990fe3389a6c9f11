/* How the simulation drives a node of another version, built into a library of its own. Plain types
 * only: the two sides are compiled against different headers. */
#ifndef RP_ENGINE_H
#define RP_ENGINE_H

#include <stdbool.h>

struct rp_request;

struct sim_engine {
    /* `net` points to a struct rp_net, which other versions may have made longer. */
    void *(*open)(const char *settings, const void *net, double now);
    void (*advance)(void *node, double to);
    void (*client)(void *node, struct rp_request *req);
    void (*peer)(void *node, struct rp_request *req);
    bool (*leads)(void *node);
    void (*close)(void *node);
};

/* The library's only symbol. */
#define SIM_ENGINE_SYMBOL "sim_engine_of_production"

#endif
