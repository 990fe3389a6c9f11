/* The interface through which the simulation runs a node of another version, which is built into a
 * library of its own. It has plain types only, because the two sides are compiled against different
 * headers. */
#ifndef RP_ENGINE_H
#define RP_ENGINE_H

#include <stdbool.h>

struct rp_request;

struct sim_engine {
    /* `net` points to a struct rp_net, to which other versions may have added members. */
    void *(*open)(const char *settings, const void *net, double now);
    void (*advance)(void *node, double to);
    void (*client)(void *node, struct rp_request *req);
    void (*peer)(void *node, struct rp_request *req);
    bool (*leads)(void *node);
    void (*close)(void *node);
};

/* The only symbol that the library exports: a struct sim_engine. */
#define SIM_ENGINE_SYMBOL "sim_engine_of_production"

#endif
