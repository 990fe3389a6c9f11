/* Simulates the cloud: the catalog, provisioning, release and the list of machines. */
#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "protocol/cloud_codec.h"

const struct sim_machine_type sim_types[2] = {{"small", 8, 0, 32, 0.36, 0.11, 8},
                                              {"wide", 32, 0, 128, 1.5, 0.45, 12}};
const char *const sim_zones[2] = {"a", "b"};

/* Time until a new machine appears in the list: list_lag_s of the settings. */
#define LIST_LAG_S 3.0
#define PAGE_ROWS 500 /* machines in one response to a list request */

/* The machines of a type in a zone, on-demand or spot; the cloud has size.capacity of each pool. */
struct pool {
    int type, zone;
    bool is_spot;
};

static json_t *cloud_catalog(void) {
    json_t *list = json_array();
    for (int i = 0; i < 2; i++)
        json_array_append_new(list,
                              json_pack("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[s,s]}", "name",
                                        sim_types[i].name, "vcpus", sim_types[i].cpus, "cards",
                                        sim_types[i].gpus, "memory_gb", sim_types[i].memory,
                                        "cache_gb", 50.0, "fetch_gb_per_s", 1.0, "price",
                                        sim_types[i].price, "market_price", sim_types[i].spot_price,
                                        "boot_s", sim_types[i].boot, "yards", "a", "b"));
    return json_pack("{s:o}", "frames", list);
}

static int count_machines(const struct sim *sim, const struct pool *pool) {
    int n = 0;
    for (int i = 0; i < sim->size.n_workers; i++) {
        const struct sim_worker *worker = &sim->workers[i];
        n += worker->used && worker->alive && worker->type == pool->type &&
             worker->zone == pool->zone && worker->spot == pool->is_spot;
    }
    return n;
}

static void add_machine(struct sim *sim, struct sim_worker *worker, const struct pool *pool) {
    free(worker->tasks);
    *worker = (struct sim_worker){.used = true,
                                  .alive = true,
                                  .type = pool->type,
                                  .zone = pool->zone,
                                  .spot = pool->is_spot,
                                  .provisioned_at = sim->now};
    worker->boots_at =
        sim->now + (sim_chance(sim, sim->faults.fast_boot)
                        ? 0.1 + 1.9 * sim_uniform(sim)
                        : sim_types[pool->type].boot * (0.3 + 1.2 * sim_uniform(sim)));
    if (sim_chance(sim, sim->faults.boot_failure))
        worker->boots_at = SIM_NEVER;
    snprintf(worker->name, sizeof worker->name, "%s%06d", sim->machine_prefix, sim->next_machine++);
}

/* Provisions machines; a repeated request gets the machines of the first request with its name. */
static int cloud_provision(struct sim *sim, const json_t *body, json_t **out) {
    const char *request = json_string_value(json_object_get(body, "hire"));
    json_t *first_response = json_object_get(sim->provisioned, request);
    if (first_response) {
        *out = json_incref(first_response);
        return 200;
    }
    struct pool pool = {
        .type = strcmp(json_string_value(json_object_get(body, "frame")), "small") ? 1 : 0,
        .zone = strcmp(json_string_value(json_object_get(body, "yard")), "a") ? 1 : 0,
        .is_spot = json_is_true(json_object_get(body, "loaners"))};
    int n_free = sim->size.capacity - count_machines(sim, &pool);
    int n_requested = (int)json_integer_value(json_object_get(body, "count"));
    json_t *names = json_array();
    for (int i = 0; i < sim->size.n_workers && n_requested > 0 && n_free > 0; i++) {
        if (sim->workers[i].used)
            continue;
        add_machine(sim, &sim->workers[i], &pool);
        json_array_append_new(names, json_string(sim->workers[i].name));
        n_requested--;
        n_free--;
    }
    if (json_array_size(names) == 0) {
        json_decref(names);
        *out = json_pack("{s:s}", "error", "no capacity");
        return 503;
    }
    *out = json_pack("{s:o}", "sheaves", names);
    json_object_set(sim->provisioned, request, *out);
    return 200;
}

static void cloud_release(struct sim *sim, const json_t *names) {
    json_t *name;
    size_t i;
    json_array_foreach(names, i, name) {
        for (int k = 0; k < sim->size.n_workers; k++) {
            struct sim_worker *worker = &sim->workers[k];
            if (worker->used && strcmp(worker->name, json_string_value(name)) == 0)
                worker->used = worker->alive = false;
        }
    }
}

static int compare_names(const void *a, const void *b) {
    return strcmp((*(const struct sim_worker *const *)a)->name,
                  (*(const struct sim_worker *const *)b)->name);
}

static json_t *list_entry(const struct sim *sim, const struct sim_worker *worker) {
    const char *phase = worker->up ? "running" : "booting";
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "ref", worker->name, "address",
                     sim_worker_address(sim, worker), "frame", sim_types[worker->type].name, "yard",
                     sim_zones[worker->zone], "loaners", worker->spot, "tension",
                     worker->alive ? phase : "failed", "age_s", sim->now - worker->provisioned_at);
}

static json_t *cloud_list(const struct sim *sim, const char *target) {
    const struct sim_worker *sorted[SIM_WORKERS] = {NULL};
    char from[RP_TEXT_MAX];
    size_t n = 0;
    json_t *list = json_array();
    bool is_continued = sim_query_parameter(target, "from=", from, sizeof from) != NULL;
    for (int i = 0; i < sim->size.n_workers; i++) {
        const struct sim_worker *worker = &sim->workers[i];
        if (worker->used && worker->provisioned_at < sim->now - LIST_LAG_S &&
            (!is_continued || strcmp(worker->name, from) > 0))
            sorted[n++] = worker;
    }
    // NOLINTNEXTLINE(bugprone-sizeof-expression): pointers are sorted
    qsort(sorted, n, sizeof sorted[0], compare_names);
    for (size_t i = 0; i < n && i < PAGE_ROWS; i++)
        json_array_append_new(list, list_entry(sim, sorted[i]));
    return json_pack("{s:o,s:b}", "sheaves", list, "has_next", n > PAGE_ROWS);
}

int sim_cloud_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out) {
    if (sim->now < sim->cloud_outage_until && !sim->is_cloud_silent) {
        *out = json_pack("{s:s}", "error", "trouble");
        return 503;
    }
    if (strcmp(event->target, RP_PATH_CATALOG) == 0) {
        *out = cloud_catalog();
        return 200;
    }
    if (strcmp(event->target, RP_PATH_RELEASE) == 0) {
        cloud_release(sim, json_object_get(body, "sheaves"));
        return 200;
    }
    if (strcmp(event->method, "POST") == 0)
        return cloud_provision(sim, body, out);
    *out = cloud_list(sim, event->target);
    return 200;
}
