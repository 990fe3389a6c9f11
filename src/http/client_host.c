#include "http/client_host.h"

#include <stdlib.h>
#include <string.h>
#include "base/string_copy.h"

/* Parameters of Bernstein's string hash (djb2). */
#define HASH_SEED 5381
#define HASH_FACTOR 33

static struct rp_http_host **host_bucket(struct rp_http_host_table *table, const char *address) {
    size_t hash = HASH_SEED;
    for (const char *c = address; *c; c++)
        hash = hash * HASH_FACTOR + (unsigned char)*c;
    return &table->buckets[hash % RP_HTTP_HOST_BUCKETS];
}

struct rp_http_host *rp_http_host_find_or_add(struct rp_http_host_table *table,
                                              struct rp_http_client *client, const char *address) {
    struct rp_http_host **bucket = host_bucket(table, address);
    struct rp_http_host *host = *bucket;
    while (host && strcmp(host->address, address) != 0)
        host = host->next;
    if (host)
        return host;
    host = calloc(1, sizeof *host);
    if (!host)
        return NULL;
    if (!rp_string_try_copy(host->address, sizeof host->address, address) ||
        !rp_socket_parse_address(address, &host->socket_address)) {
        free(host);
        return NULL;
    }
    host->client = client;
    host->next = *bucket;
    *bucket = host;
    table->n_hosts++;
    return host;
}

/* Hosts are removed as soon as they are unused: thousands of machines are provisioned and released
 * while the process runs, and the table would grow with each of them. */
void rp_http_host_release_if_unused(struct rp_http_host_table *table, struct rp_http_host *host) {
    bool is_referenced = host->is_in_use || host->is_waiting;
    if (is_referenced || host->connections || host->first_call)
        return;
    struct rp_http_host **link = host_bucket(table, host->address);
    while (*link != host)
        link = &(*link)->next;
    *link = host->next;
    table->n_hosts--;
    free(host);
}

void rp_http_host_wait_for_connection(struct rp_http_host_table *table, struct rp_http_host *host) {
    if (host->is_waiting)
        return;
    host->is_waiting = true;
    host->next_waiting = NULL;
    if (table->last_waiting)
        table->last_waiting->next_waiting = host;
    else
        table->first_waiting = host;
    table->last_waiting = host;
}

struct rp_http_host *rp_http_host_take_first_waiting(struct rp_http_host_table *table) {
    struct rp_http_host *host = table->first_waiting;
    table->first_waiting = host->next_waiting;
    if (!table->first_waiting)
        table->last_waiting = NULL;
    host->is_waiting = false;
    return host;
}

void rp_http_host_queue_call(struct rp_http_call *call) {
    struct rp_http_host *host = call->host;
    if (host->last_call)
        host->last_call->next = call;
    else
        host->first_call = call;
    host->last_call = call;
}

void rp_http_host_unqueue_call(struct rp_http_call *call) {
    struct rp_http_host *host = call->host;
    struct rp_http_call *prev = NULL;
    struct rp_http_call **link = &host->first_call;
    while (*link && *link != call) {
        prev = *link;
        link = &prev->next;
    }
    if (!*link)
        return;
    *link = call->next;
    if (host->last_call == call)
        host->last_call = prev;
    call->next = NULL;
}
