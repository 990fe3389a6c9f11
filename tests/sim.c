#include "sim_parts.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "protocol/wire.h"

#define GANG_WAIT_S 40.0
#define GANG_PEER_S 5.0

double sim_uniform(struct sim *s) {
    return gsl_rng_uniform(s->rng);
}

bool sim_chance(struct sim *s, double p) {
    return p > 0 && sim_uniform(s) < p;
}

void sim_broken(struct sim *s, const char *fmt, ...) {
    va_list ap;
    if (s->broken[0])
        return;
    va_start(ap, fmt);
    int n = snprintf(s->broken, sizeof s->broken, "%.2f: ", s->now);
    vsnprintf(s->broken + n, sizeof s->broken - (size_t)n, fmt, ap);
    va_end(ap);
}

struct sim_event *sim_event_new(struct sim *s, enum event_kind kind, double after) {
    struct sim_event *e = calloc(1, sizeof *e);
    if (!e || s->n_events == SIM_EVENTS)
        abort();
    e->kind = kind;
    e->due = s->now + after;
    s->events[s->n_events++] = e;
    return e;
}

static void event_free(struct sim_event *e) {
    free(e->target);
    free(e->body);
    free(e);
}

static double delay(struct sim *s) {
    return 0.0005 + 0.004 * sim_uniform(s) + (sim_chance(s, 0.01) ? 0.3 * sim_uniform(s) : 0);
}

const struct sim_engine *sim_old_engine;
bool sim_standby;
void (*sim_observer)(const struct sim_message *message);

static void observe(const struct sim *s, struct sim_message message) {
    message.time = s->now;
    if (sim_observer)
        sim_observer(&message);
}

/* ---- state service ---- */

static struct sim_key *key_find(struct sim *s, const char *key) {
    for (int i = 0; i < s->n_keys; i++)
        if (strcmp(s->keys[i].key, key) == 0)
            return &s->keys[i];
    return NULL;
}

static void key_log(struct sim *s, const char *key, json_t *value) {
    json_t *e = value ? json_pack("{s:s,s:O,s:I}", "write", key, "v", value, "key_rev",
                                  (json_int_t)s->revision)
                      : json_pack("{s:s,s:I}", "delete", key, "key_rev", (json_int_t)s->revision);
    json_array_append_new(s->log, e);
}

static void key_delete(struct sim *s, struct sim_key *k) {
    key_log(s, k->key, NULL);
    free(k->key);
    json_decref(k->value);
    *k = s->keys[--s->n_keys];
}

static void key_put(struct sim *s, const char *key, json_t *value, uint64_t lease) {
    struct sim_key *k = key_find(s, key);
    if (!k) {
        if (s->n_keys == SIM_KEYS)
            abort();
        k = &s->keys[s->n_keys++];
        *k = (struct sim_key){.key = strdup(key)};
    }
    json_decref(k->value);
    k->value = json_incref(value);
    k->version = s->revision;
    k->lease = lease;
    key_log(s, key, value);
}

static void lease_expire(struct sim *s, struct sim_lease *l) {
    s->revision++;
    for (int i = s->n_keys; i-- > 0;)
        if (s->keys[i].lease == l->id)
            key_delete(s, &s->keys[i]);
    l->id = 0;
}

static struct sim_lease *lease_find(struct sim *s, uint64_t id) {
    for (int i = 0; id && i < SIM_LEASES; i++)
        if (s->leases[i].id == id)
            return &s->leases[i];
    return NULL;
}

static bool any_old(const struct sim *s) {
    bool old = false;
    for (int i = 0; i < s->n_nodes; i++)
        old |= s->nodes[i].old || s->nodes[i].next_old;
    return old;
}

static bool has_prefix(const char *key, const char *prefix) {
    return strncmp(key, prefix, strlen(prefix)) == 0;
}

/* Nothing that the version before doesn't read may be stored while any of its nodes is left, and
 * the activation neither; nor a service, which it would run as an array. */
static void check_forms(struct sim *s, const char *key, const json_t *value) {
    bool said = has_prefix(key, RP_KEY_VERSION) || strcmp(key, RP_KEY_FORMAT) == 0;
    bool unit = has_prefix(key, RP_KEY_PROGRESS) && strstr(key, "/u");
    const char *kind = json_string_value(json_object_get(json_object_get(value, "spec"), "haul"));
    if (strcmp(key, RP_KEY_FORMAT) == 0) {
        s->activated = s->now;
        if (any_old(s))
            sim_broken(s, "activated_early");
    }
    if (!any_old(s) && s->activated > 0)
        return;
    if (!said && (unit || has_prefix(key, RP_KEY_PART) || rp_record_format(value) > 1))
        sim_broken(s, "too_early: %s", key);
    if (kind && strcmp(kind, "service") == 0)
        sim_broken(s, "too_early: service %s", key);
}

/* From a moment after the activation on, everything fits what is to come. */
static int check_limits(struct sim *s, json_t *ops) {
    json_t *v;
    size_t i, n = json_array_size(ops), largest = 0;
    json_array_foreach(ops, i, v) {
        const json_t *value = json_object_get(v, "v");
        size_t size = value ? rp_record_size(value) : 0;
        largest = size > largest ? size : largest;
    }
    bool fits = (double)n <= s->next.txn_ops && (double)largest <= s->next.value_bytes;
    if (s->activated > 0 && s->now > s->activated + 1.5 && !fits)
        sim_broken(s, "too_large: changes=%zu bytes=%zu", n, largest);
    if ((double)n > s->limits.txn_ops || (double)largest > s->limits.value_bytes) {
        s->n_bad++;
        return 400;
    }
    double rate = s->limits.write_rps;
    s->write_room = fmin(rate, s->write_room + (s->now - s->write_room_at) * rate);
    s->write_room_at = s->now;
    if (s->write_room < (double)n) {
        s->n_too_fast++;
        return 429;
    }
    s->write_room -= (double)n;
    return 200;
}

static int state_txn(struct sim *s, json_t *body, json_t **out) {
    json_t *failed = json_array(), *v;
    size_t i;
    s->n_comparisons += json_array_size(json_object_get(body, "then")) == 0;
    int status = check_limits(s, json_object_get(body, "then"));
    if (status != 200) {
        json_decref(failed);
        *out = json_pack("{s:s}", "error", status == 400 ? "too large" : "too fast");
        return status;
    }
    json_array_foreach(json_object_get(body, "when"), i, v) {
        const char *path = json_string_value(json_object_get(v, "path"));
        struct sim_key *k = key_find(s, path);
        uint64_t want = (uint64_t)json_integer_value(json_object_get(v, "key_rev"));
        if ((k ? k->version : 0) != want && s->breakage != SIM_STATE_IGNORES_CONDITIONS)
            json_array_append_new(failed, json_string(path));
    }
    json_array_foreach(json_object_get(body, "then"), i, v) {
        uint64_t lease = (uint64_t)json_integer_value(json_object_get(v, "lashing"));
        if (lease && !lease_find(s, lease)) {
            json_decref(failed);
            *out = json_pack("{s:s}", "error", "no such lease");
            return 400;
        }
    }
    if (json_array_size(failed)) {
        *out = json_pack("{s:o,s:I}", "failed", failed, "ledger_rev", (json_int_t)s->revision);
        return 409;
    }
    json_decref(failed);
    if (json_array_size(json_object_get(body, "then")))
        s->revision++;
    json_array_foreach(json_object_get(body, "then"), i, v) {
        const char *put = json_string_value(json_object_get(v, "write"));
        const char *gone = json_string_value(json_object_get(v, "delete"));
        if (put)
            check_forms(s, put, json_object_get(v, "v"));
        if (put)
            key_put(s, put, json_object_get(v, "v"),
                    (uint64_t)json_integer_value(json_object_get(v, "lashing")));
        else if (key_find(s, gone))
            key_delete(s, key_find(s, gone));
    }
    *out = json_pack("{s:I}", "ledger_rev", (json_int_t)s->revision);
    return 200;
}

static int state_lease(struct sim *s, const char *method, const char *rest, json_t *body,
                       json_t **out) {
    if (!*rest) {
        struct sim_lease *l = NULL;
        for (int i = 0; i < SIM_LEASES && !l; i++)
            if (!s->leases[i].id)
                l = &s->leases[i];
        if (!l)
            abort();
        l->id = ++s->next_lease;
        l->ttl = (double)json_integer_value(json_object_get(body, "ttl_ms")) / 1000;
        l->ends = s->now + l->ttl;
        *out = json_pack("{s:I}", "lashing", (json_int_t)l->id);
        return 200;
    }
    struct sim_lease *l = lease_find(s, strtoull(rest + 1, NULL, 10));
    if (!l)
        return 404;
    if (strcmp(method, "DELETE") == 0)
        lease_expire(s, l);
    else
        l->ends = s->now + l->ttl;
    return 200;
}

static int by_key(const void *a, const void *b) {
    const struct sim_key *x = *(struct sim_key *const *)a, *y = *(struct sim_key *const *)b;
    return strcmp(x->key, y->key);
}

static const char *param(const char *target, const char *name, char *out, size_t size) {
    const char *at = strstr(target, name);
    size_t n = 0;
    if (at)
        for (at += strlen(name); at[n] && at[n] != '&' && n + 1 < size; n++)
            out[n] = at[n];
    out[n] = '\0';
    return at ? out : NULL;
}

/* A node that stands for the version before sees nothing that it wouldn't ask for. */
static bool hidden(const struct sim *s, int node, const char *key) {
    return s->nodes[node].old && !s->nodes[node].old_node &&
           (has_prefix(key, RP_KEY_VERSION) || strcmp(key, RP_KEY_FORMAT) == 0 ||
            has_prefix(key, RP_KEY_PART));
}

static json_t *state_list(struct sim *s, int node, const char *target) {
    struct sim_key *found[SIM_KEYS] = {NULL};
    char prefix[256], from[256], limit[32];
    int n = 0;
    json_t *rows = json_array();
    param(target, "prefix=", prefix, sizeof prefix);
    bool after = param(target, "&from=", from, sizeof from) != NULL;
    size_t most = param(target, "limit=", limit, sizeof limit) ? strtoul(limit, NULL, 10) : 1000;
    for (int i = 0; i < s->n_keys; i++)
        if (has_prefix(s->keys[i].key, prefix) && !hidden(s, node, s->keys[i].key) &&
            (!after || strcmp(s->keys[i].key, from) > 0))
            found[n++] = &s->keys[i];
    // NOLINTNEXTLINE(bugprone-sizeof-expression): pointers are sorted
    qsort(found, (size_t)n, sizeof found[0], by_key);
    for (int i = 0; i < n && (size_t)i < most; i++)
        json_array_append_new(rows,
                              json_pack("{s:s,s:O,s:I}", "path", found[i]->key, "v",
                                        found[i]->value, "key_rev", (json_int_t)found[i]->version));
    return json_pack("{s:o,s:b,s:I}", "rows", rows, "has_next", (size_t)n > most, "ledger_rev",
                     (json_int_t)s->revision);
}

static json_t *state_news(struct sim *s, const char *target) {
    char prefix[256], from[32];
    json_t *log = json_array(), *e;
    size_t i;
    param(target, "prefix=", prefix, sizeof prefix);
    param(target, "from=", from, sizeof from);
    json_int_t since = (json_int_t)strtoll(from, NULL, 10);
    /* The changes come in the order of their revisions. */
    size_t first = json_array_size(s->log);
    while (first > 0 && json_integer_value(
                            json_object_get(json_array_get(s->log, first - 1), "key_rev")) > since)
        first--;
    for (i = first; i < json_array_size(s->log); i++) {
        e = json_array_get(s->log, i);
        const char *key = json_string_value(json_object_get(e, "write"));
        key = key ? key : json_string_value(json_object_get(e, "delete"));
        if (strncmp(key, prefix, strlen(prefix)) == 0)
            json_array_append(log, e);
    }
    return json_pack("{s:I,s:o}", "ledger_rev", (json_int_t)s->revision, "log", log);
}

static int state_request(struct sim *s, const struct sim_event *e, json_t *body, json_t **out) {
    if (s->now < s->outage_until || s->now < s->nodes[e->node].refused_until)
        return 503;
    if (strcmp(e->target, "/txn") == 0)
        return state_txn(s, body, out);
    if (strncmp(e->target, "/leases", 7) == 0)
        return state_lease(s, e->method, e->target + 7, body, out);
    if (strncmp(e->target, "/kv?", 4) == 0) {
        *out = state_list(s, e->node, e->target);
        s->n_state_lists++;
        s->n_rows_read += json_array_size(json_object_get(*out, "rows"));
        return 200;
    }
    s->n_state_reads++;
    struct sim_key *k = key_find(s, e->target + 4);
    if (k && hidden(s, e->node, k->key))
        k = NULL;
    if (!k) {
        *out = json_pack("{s:I}", "ledger_rev", (json_int_t)s->revision);
        return 404;
    }
    *out = json_pack("{s:s,s:O,s:I}", "path", k->key, "v", k->value, "key_rev",
                     (json_int_t)k->version);
    return 200;
}

/* ---- cloud ---- */

const struct sim_machine_type sim_types[2] = {{"small", 8, 0, 32, 0.36, 0.11, 8},
                                              {"wide", 32, 0, 128, 1.5, 0.45, 12}};
const char *const sim_zones[2] = {"a", "b"};

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

static int cloud_rent(struct sim *s, json_t *body, json_t **out) {
    const char *request = json_string_value(json_object_get(body, "hire"));
    json_t *known = json_object_get(s->rentals, request);
    if (known) {
        *out = json_incref(known);
        return 200;
    }
    int type = strcmp(json_string_value(json_object_get(body, "frame")), "small") ? 1 : 0;
    int zone = strcmp(json_string_value(json_object_get(body, "yard")), "a") ? 1 : 0;
    bool spot = json_is_true(json_object_get(body, "loaners"));
    int left = s->size.capacity, count = (int)json_integer_value(json_object_get(body, "count"));
    for (int i = 0; i < s->size.workers; i++)
        left -= s->workers[i].used && s->workers[i].alive && s->workers[i].type == type &&
                s->workers[i].zone == zone && s->workers[i].spot == spot;
    json_t *names = json_array();
    for (int i = 0; i < s->size.workers && count > 0 && left > 0; i++) {
        struct sim_worker *w = &s->workers[i];
        if (w->used)
            continue;
        *w = (struct sim_worker){.used = true, .alive = true, .type = type, .zone = zone};
        w->spot = spot;
        w->rented = s->now;
        w->boots = s->now + (sim_chance(s, s->faults.fast_boot)
                                 ? 0.1 + 1.9 * sim_uniform(s)
                                 : sim_types[type].boot * (0.3 + 1.2 * sim_uniform(s)));
        if (sim_chance(s, s->faults.never_up))
            w->boots = 1e9;
        snprintf(w->name, sizeof w->name, "vm-%06d", s->next_machine++);
        json_array_append_new(names, json_string(w->name));
        count--;
        left--;
    }
    if (json_array_size(names) == 0) {
        json_decref(names);
        *out = json_pack("{s:s}", "error", "no capacity");
        return 503;
    }
    *out = json_pack("{s:o}", "sheaves", names);
    json_object_set(s->rentals, request, *out);
    return 200;
}

static int by_name(const void *a, const void *b) {
    return strcmp((*(const struct sim_worker *const *)a)->name,
                  (*(const struct sim_worker *const *)b)->name);
}

static const char *worker_addr(const struct sim *s, const struct sim_worker *w) {
    return s->remote ? s->remote->worker_addr(s->remote->ctx, (int)(w - s->workers)) : w->name;
}

static json_t *cloud_list(const struct sim *s, const char *target) {
    const struct sim_worker *sorted[SIM_WORKERS] = {NULL};
    char from[RP_TEXT_MAX];
    size_t n = 0, most = 500;
    json_t *list = json_array();
    bool after = param(target, "from=", from, sizeof from) != NULL;
    for (int i = 0; i < s->size.workers; i++)
        if (s->workers[i].used && s->workers[i].rented < s->now - 3 &&
            (!after || strcmp(s->workers[i].name, from) > 0))
            sorted[n++] = &s->workers[i];
    // NOLINTNEXTLINE(bugprone-sizeof-expression): pointers are sorted
    qsort(sorted, n, sizeof sorted[0], by_name);
    for (size_t i = 0; i < n && i < most; i++) {
        const struct sim_worker *m = sorted[i];
        json_array_append_new(list,
                              json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "ref", m->name, "address",
                                        worker_addr(s, m), "frame", sim_types[m->type].name, "yard",
                                        sim_zones[m->zone], "loaners", m->spot, "tension",
                                        !m->alive ? "failed"
                                        : m->up   ? "running"
                                                  : "booting",
                                        "age_s", s->now - m->rented));
    }
    return json_pack("{s:o,s:b}", "sheaves", list, "has_next", n > most);
}

static int cloud_request(struct sim *s, const struct sim_event *e, json_t *body, json_t **out) {
    json_t *name;
    size_t i;
    if (s->now < s->cloud_out_until) {
        *out = json_pack("{s:s}", "error", "trouble");
        return 503;
    }
    if (strcmp(e->target, RP_PATH_TYPES) == 0) {
        *out = cloud_catalog();
        return 200;
    }
    if (strcmp(e->target, RP_PATH_DELETE) == 0) {
        json_array_foreach(json_object_get(body, "sheaves"), i, name) {
            for (int w = 0; w < s->size.workers; w++)
                if (s->workers[w].used && strcmp(s->workers[w].name, json_string_value(name)) == 0)
                    s->workers[w].used = s->workers[w].alive = false;
        }
        return 200;
    }
    if (strcmp(e->method, "POST") == 0)
        return cloud_rent(s, body, out);
    *out = cloud_list(s, e->target);
    return 200;
}

/* ---- workers ---- */

static int job_index(const struct sim *s, const char *id) {
    for (int i = 0; i < s->n_jobs; i++)
        if (strcmp(s->jobs[i].spec.id, id) == 0)
            return i;
    return -1;
}

bool sim_on_machine(const struct sim_task *t) {
    return t->state == RP_TASK_WAITING || t->state == RP_TASK_RUNNING || t->state == RP_TASK_SAVING;
}

static void task_exit(struct sim_worker *w, struct sim_task *t, const char *why, double now) {
    t->state = RP_TASK_EXITED;
    t->why = why;
    w->changed = true;
    w->exited_at = now;
}

static void worker_start(struct sim *s, struct sim_worker *w, const char *job, uint32_t index,
                         uint64_t attempt) {
    struct sim_task *t = NULL;
    double cpus = 0, memory = 0;
    int j = job_index(s, job);
    bool busy = false;
    for (int i = 0; i < w->n_tasks; i++) {
        t = &w->tasks[i];
        if (strcmp(t->job, job) == 0 && t->index == index) {
            if (t->attempt == attempt)
                return;
            busy |= t->state != RP_TASK_EXITED;
        }
        if (t->state != RP_TASK_EXITED) {
            cpus += s->jobs[t->job_index].spec.each.cpus;
            memory += s->jobs[t->job_index].spec.each.memory_gb;
        }
    }
    if (w->n_tasks == SIM_TASKS || j < 0)
        return;
    if (w->exited_at > 0) {
        s->idle_s += s->now - w->exited_at;
        s->n_idle++;
        w->exited_at = 0;
    }
    sim_check_command(s, &s->jobs[j]);
    if (attempt >> 32 > s->started_token) {
        s->started_token = attempt >> 32;
        s->started_at = s->now;
    }
    t = &w->tasks[w->n_tasks++];
    *t = (struct sim_task){.index = index, .attempt = attempt, .job_index = j};
    strcpy(t->job, job);
    w->changed = true;
    if (busy)
        task_exit(w, t, "in_use", s->now);
    else if (cpus + s->jobs[j].spec.each.cpus > sim_types[w->type].cpus + 1e-6 ||
             memory + s->jobs[j].spec.each.memory_gb > sim_types[w->type].memory + 1e-6)
        task_exit(w, t, "no_room", s->now);
    else
        t->ready = s->now + 0.5 + sim_uniform(s);
    if (s->breakage == SIM_REPLICAS_NEVER_START && s->jobs[j].spec.kind == RP_SERVICE)
        t->ready = 1e9;
    if (s->breakage == SIM_LARGE_NEVER_BEGIN && s->jobs[j].spec.n_tasks >= SIM_LARGE)
        t->ready = 1e9;
}

static void worker_stop(struct sim *s, struct sim_worker *w, struct sim_task *t, double grace) {
    const struct rp_job_spec *spec = &s->jobs[t->job_index].spec;
    if (s->breakage == SIM_WORKERS_IGNORE_STOPS || s->breakage == SIM_RENEWED_WITHOUT_STOPS ||
        t->state == RP_TASK_EXITED)
        return;
    if (t->state == RP_TASK_RUNNING && spec->checkpoint_s > 0 && grace >= spec->save_s) {
        t->state = RP_TASK_SAVING;
        t->stopped = s->now;
        t->ready = s->now + spec->save_s;
        w->changed = true;
    } else if (t->state != RP_TASK_SAVING || grace == 0) {
        task_exit(w, t, "halted", s->now);
    }
}

static void worker_command(struct sim *s, struct sim_worker *w, json_t *c) {
    const char *op = json_string_value(json_object_get(c, "signal"));
    const char *name = json_string_value(json_object_get(c, "lift"));
    uint64_t attempt = (uint64_t)json_integer_value(json_object_get(c, "pull"));
    char job[RP_ID_MAX] = "";
    const char *slash = strchr(name, '/');
    memcpy(job, name, (size_t)(slash - name));
    uint32_t index = (uint32_t)strtoul(slash + 1, NULL, 10);
    if (strcmp(op, "run") == 0) {
        if (s->breakage != SIM_STARTS_GET_LOST || strcmp(job, s->jobs[1].spec.id) != 0)
            worker_start(s, w, job, index, attempt);
        return;
    }
    for (int i = 0; i < w->n_tasks; i++) {
        struct sim_task *t = &w->tasks[i];
        if (strcmp(t->job, job) != 0 || t->index != index || t->attempt != attempt)
            continue;
        if (strcmp(op, "halt") == 0) {
            worker_stop(s, w, t, json_number_value(json_object_get(c, "ease_s")));
        } else if (t->state == RP_TASK_EXITED) {
            *t = w->tasks[--w->n_tasks];
        }
        return;
    }
}

static void worker_commands(struct sim *s, struct sim_worker *w, json_t *body) {
    json_t *list = json_object_get(body, "signals"), *c;
    size_t i;
    json_array_foreach(list, i, c) {
        worker_command(s, w, c);
    }
}

static bool worker_takes_token(struct sim_worker *w, json_t *body) {
    uint64_t token = (uint64_t)json_integer_value(json_object_get(body, "warrant"));
    if (!json_object_get(body, "warrant") || token < w->token)
        return false;
    if (token > w->token)
        w->changed = true;
    w->token = token;
    return true;
}

static json_t *worker_report(const struct sim *s, struct sim_worker *w) {
    double now = s->now;
    static const char *const words[] = {"fetching", "waiting", "running", "flushing", "exited"};
    json_t *tasks = json_array();
    for (int i = 0; i < w->n_tasks; i++) {
        const struct sim_task *t = &w->tasks[i];
        char name[80];
        snprintf(name, sizeof name, "%s/%u", t->job, t->index);
        json_t *v = json_pack("{s:s,s:I,s:s}", "lift", name, "pull", (json_int_t)t->attempt,
                              "tension", words[t->state]);
        if (t->why)
            json_object_set_new(v, "slack_reason", json_string(t->why));
        if (t->saved)
            json_object_set_new(v, "stored", json_true());
        json_array_append_new(tasks, v);
    }
    w->seq++;
    json_t *notice = w->taken_at > 0 ? json_real(fmax(0, w->taken_at - now)) : json_null();
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o,s:o}", "sheave", w->name, "address",
                     worker_addr(s, w), "frame", sim_types[w->type].name, "yard",
                     sim_zones[w->zone], "loaners", w->spot, "stint", (json_int_t)w->session,
                     "tick", (json_int_t)w->seq, "warrant", (json_int_t)w->token, "recall_s",
                     notice, "lifts", tasks);
}

/* A direct command or question, when it arrives. 0: nobody is there to answer. */
static int worker_request(struct sim *s, const struct sim_event *e, json_t *body, json_t **out) {
    struct sim_worker *w = NULL;
    int status = 200;
    for (int i = 0; i < s->size.workers; i++)
        if (s->workers[i].used && strcmp(s->workers[i].name, e->addr) == 0)
            w = &s->workers[i];
    if (!w || !w->alive || !w->up || s->now < w->deaf_until)
        return 0;
    s->n_direct_to_mute += s->now < w->mute_until;
    if (strcmp(e->target, RP_PATH_DIRECT) == 0) {
        s->n_direct++;
        if ((uint64_t)json_integer_value(json_object_get(body, "stint")) != w->session ||
            !worker_takes_token(w, body))
            status = 409;
        else
            worker_commands(s, w, body);
    }
    *out = worker_report(s, w);
    return status;
}

/* The machine hangs, or its zone is cut off: what is on its way to it waits. */
static bool worker_waits(const struct sim *s, const struct sim_event *e) {
    for (int i = 0; i < s->size.workers; i++)
        if (s->workers[i].used && strcmp(s->workers[i].name, e->addr) == 0)
            return s->now < s->workers[i].hung_until || s->cut_zone == s->workers[i].zone + 1;
    return false;
}

/* Members of the gang attempt that are in one of the states; `lost` when fewer than all live. */
static int gang_members(const struct sim *s, const struct sim_task *t, bool ready_only) {
    int n = 0;
    for (int i = 0; i < s->size.workers; i++)
        for (int k = 0; s->workers[i].used && s->workers[i].alive && k < s->workers[i].n_tasks;
             k++) {
            const struct sim_task *o = &s->workers[i].tasks[k];
            if (o->job_index == t->job_index && o->attempt == t->attempt &&
                (sim_on_machine(o) || (!ready_only && o->state == RP_TASK_FETCHING) ||
                 (o->why && strcmp(o->why, "done") == 0)))
                n++;
        }
    return n;
}

/* Users who call a job off at the very moment at which its last task ends. */
static void cancel_at_end(struct sim *s, struct sim_job *job) {
    for (uint32_t i = 0; i < job->spec.n_tasks; i++)
        if (!job->done[i])
            return;
    if (!job->cancel_at_end || job->cancel_asked)
        return;
    job->cancel_at = s->now;
    s->n_cancelled_at_end++;
}

static void task_step(struct sim *s, struct sim_worker *w, struct sim_task *t) {
    struct sim_job *job = &s->jobs[t->job_index];
    bool gang = job->spec.kind == RP_GANG;
    switch (t->state) {
    case RP_TASK_FETCHING:
        if (s->now < t->ready)
            break;
        t->state = gang ? RP_TASK_WAITING : RP_TASK_RUNNING;
        t->ready = s->now;
        t->began = s->now - job->ran_s[t->index]; /* what was saved isn't done again */
        w->changed = true;
        sim_check_start(s, w, t);
        break;
    case RP_TASK_WAITING:
        if (gang_members(s, t, true) == (int)job->spec.n_tasks) {
            t->state = RP_TASK_RUNNING;
            t->began = s->now;
            w->changed = true;
        } else if (s->now > t->ready + GANG_WAIT_S) {
            task_exit(w, t, "alone", s->now);
        }
        break;
    case RP_TASK_RUNNING:
        if (gang && s->now > t->began + GANG_PEER_S &&
            gang_members(s, t, false) < (int)job->spec.n_tasks) {
            task_exit(w, t, "peers", s->now);
        } else if (w->bad && s->now > t->began + 0.5) {
            s->n_errors++;
            task_exit(w, t, "error", s->now);
        } else if (job->spec.kind == RP_SERVICE) {
            if (sim_chance(s, s->faults.end_s > 0 ? SIM_STEP_S / s->faults.end_s : 0) ||
                job->faulty)
                task_exit(w, t, sim_chance(s, 0.5) ? "done" : "error", s->now);
        } else if (job->done[t->index] ||
                   s->now > t->began + job->spec.estimate_s + t->index * job->stagger_s) {
            if (job->faulty || (!job->done[t->index] && sim_chance(s, s->faults.task_error))) {
                s->n_errors++;
                task_exit(w, t, "error", s->now);
                break;
            }
            job->done[t->index] = s->breakage != SIM_DONE_TOO_EARLY;
            if (gang)
                for (uint32_t i = 0; i < job->spec.n_tasks; i++)
                    job->done[i] = true;
            task_exit(w, t, "done", s->now);
            cancel_at_end(s, job);
        }
        break;
    case RP_TASK_SAVING:
        if (s->now >= t->ready) {
            t->saved = true;
            if (!gang)
                job->ran_s[t->index] = t->stopped - t->began;
            task_exit(w, t, "halted", s->now);
        }
        break;
    default:
        break;
    }
}

/* Of a broken world: an old report passes for one of the next session. */
static void make_newer(struct sim_event *copy) {
    json_t *v = json_loads(copy->body, 0, NULL);
    json_object_set_new(v, "stint",
                        json_integer(json_integer_value(json_object_get(v, "stint")) + 1));
    json_object_set_new(v, "lifts", json_array());
    free(copy->body);
    copy->body = json_dumps(v, JSON_COMPACT);
    json_decref(v);
}

static void worker_send(struct sim *s, int index) {
    struct sim_worker *w = &s->workers[index];
    if (s->now < w->mute_until) {
        w->node = (w->node + 1) % s->n_nodes; /* no connection can be made */
        w->next = s->now + 1;
        w->changed = false;
        return;
    }
    struct sim_event *e = sim_event_new(s, EV_REPORT, delay(s));
    json_t *report = worker_report(s, w);
    e->body = json_dumps(report, JSON_COMPACT);
    json_decref(report);
    e->worker = index;
    e->node = w->node;
    e->flight = ++w->flight;
    w->in_flight = true;
    w->changed = false;
    w->sent = s->now;
    if (s->held_worker == index + 1 && s->now < s->held_until)
        e->due = s->held_until + 0.5 - 0.025 * (s->held_until - s->now); /* in their order */
    else if (sim_chance(s, s->faults.lose))
        e->due = s->now + 1e9;
    else if (sim_chance(s, s->faults.late))
        e->due = s->now + 5 + 60 * sim_uniform(s);
    bool far = sim_chance(s, s->faults.copies);
    sim_trouble_report(s, e);
    if (far || sim_chance(s, s->faults.repeat)) {
        struct sim_event *copy = sim_event_new(s, EV_REPORT,
                                               far ? 1 + 5 * s->size.lease_s * sim_uniform(s)
                                                   : 0.1 + 40 * sim_uniform(s));
        copy->body = strdup(e->body);
        if (s->breakage == SIM_COPIES_LOOK_NEW)
            make_newer(copy);
        copy->worker = index;
        copy->node = e->node;
        copy->flight = 0;
        if (far)
            copy->node = (int)gsl_rng_uniform_int(s->rng, (unsigned long)s->n_nodes);
    }
}

static void worker_step(struct sim *s, int index) {
    struct sim_worker *w = &s->workers[index];
    if (!w->used || !w->alive)
        return;
    if (!w->up) {
        if (s->now < w->boots)
            return;
        w->up = true;
        w->session = 1;
        w->answered_sent = s->now;
        w->next = s->now;
        w->node = (int)gsl_rng_uniform_int(s->rng, (unsigned long)s->n_nodes);
    }
    if (w->taken_at > 0 && s->now > w->taken_at) {
        w->used = w->alive = false;
        return;
    }
    /* The lease ends by the worker's clock whether the machine hangs or not. */
    if (s->now > w->answered_sent + s->size.lease_s) {
        if (s->breakage != SIM_WORKERS_KEEP_TASKS)
            w->n_tasks = 0;
        w->session++;
        w->answered_sent = s->now;
    }
    if (s->now < w->hung_until)
        return;
    for (int i = 0; i < w->n_tasks; i++)
        task_step(s, w, &w->tasks[i]);
    if (w->in_flight && s->now > w->sent + 4) {
        w->in_flight = false;
        w->node = (w->node + 1) % s->n_nodes;
        w->next = s->now + 1;
    }
    if (!w->in_flight && (s->now >= w->next || (w->changed && s->now > w->sent + 0.5)))
        worker_send(s, index);
}

static void report_answered(struct sim *s, const struct sim_event *e) {
    struct sim_worker *w = &s->workers[e->worker];
    if (!w->used || !w->alive || !w->in_flight || e->flight != w->flight || s->now > w->sent + 4 ||
        s->now < w->hung_until || s->now < w->deaf_until)
        return;
    w->in_flight = false;
    w->next = s->now + 1;
    json_t *body = json_loads(e->body ? e->body : "{}", 0, NULL);
    if (e->status == 200) {
        w->next = w->sent + s->size.report_s * (0.75 + 0.5 * sim_uniform(s));
        if (worker_takes_token(w, body)) {
            w->answered_sent = w->sent;
            worker_commands(s, w, body);
            sim_check_renewal(s, w);
        }
    } else {
        const char *leader = json_string_value(json_object_get(body, "foreman"));
        int node = leader && e->status == 421 ? atoi(leader + strlen("n")) : -1;
        w->node = node >= 0 && node != w->node ? node : (w->node + 1) % s->n_nodes;
        if (node >= 0)
            w->next = s->now + 0.2;
    }
    json_decref(body);
}

/* ---- nodes and the network between ---- */

struct sim_request {
    struct rp_request req;
    struct sim *sim;
    enum event_kind answer;
    int node;
    unsigned long life;
    int worker;
    uint64_t flight;
    int user_op;
    double asked;
    char *body;
};

/* Shows a node's answer to a user or a worker. The request's target is gone by then. */
static void observe_answer(const struct sim_request *r, int status, const char *body, int retry) {
    static const char *const asked[] = {"submission", "question", "cancellation"};
    const struct sim *s = r->sim;
    char to[128];
    if (r->answer == EV_REPORT_ANSWER)
        snprintf(to, sizeof to, "%s", s->workers[r->worker].name);
    else if (r->answer == EV_USER)
        snprintf(to, sizeof to, "user:%s:%s", s->jobs[r->worker].spec.id, asked[r->user_op]);
    else
        snprintf(to, sizeof to, "user:odd:%s", asked[r->user_op]);
    observe(s, (struct sim_message){.from = r->node,
                                    .to = to,
                                    .method = "",
                                    .target = "",
                                    .status = status,
                                    .retry_after = retry,
                                    .body = body});
}

static void request_respond(struct rp_request *req, int status, const char *body, int retry) {
    struct sim_request *r = (struct sim_request *)(void *)req;
    struct sim *s = r->sim;
    observe_answer(r, status, body, retry);
    if (r->flight || r->answer != EV_REPORT_ANSWER) {
        struct sim_event *e = sim_event_new(s, r->answer, delay(s));
        e->status = status;
        e->body = strdup(body);
        e->worker = r->worker;
        e->flight = r->flight;
        e->user_op = r->user_op;
        e->asked = r->asked;
        if (sim_chance(s, s->faults.lose))
            e->due += r->answer == EV_REPORT_ANSWER ? 1e9 : 0;
    }
    free(r->body);
    free(r);
}

/* The answer of a node that is a process. A connection that fails is told at once, silence isn't.
 */
static void remote_answered(void *arg, const struct rp_answer *answer) {
    struct sim_request *r = arg;
    if (answer->status || answer->unsent) {
        request_respond(&r->req, answer->status ? answer->status : 599, answer->body, 0);
        return;
    }
    free(r->body);
    free(r);
}

static void node_receive(struct sim *s, int node, const char *method, const char *target,
                         const char *body, enum event_kind answer, int worker, uint64_t flight,
                         int user_op) {
    struct sim_node *n = &s->nodes[node];
    if (!s->remote && (!n->alive || s->now < n->stalled_until))
        return;
    struct sim_request *r = calloc(1, sizeof *r);
    if (!r)
        abort();
    r->sim = s;
    r->answer = answer;
    r->node = node;
    r->worker = worker;
    r->flight = flight;
    r->user_op = user_op;
    r->asked = s->now;
    r->body = strdup(body ? body : "");
    r->req = (struct rp_request){.method = method,
                                 .target = target,
                                 .body = r->body,
                                 .len = strlen(r->body),
                                 .respond = request_respond};
    if (s->remote)
        s->remote->call(s->remote->ctx, node, method, target, r->body, remote_answered, r);
    else if (n->old_node)
        sim_old_engine->client(n->old_node, &r->req);
    else
        rp_node_client_request(n->node, &r->req);
}

void sim_ask(struct sim *s, int node, const char *method, const char *target, const char *body,
             enum event_kind answer, int index, enum sim_user_op op) {
    node_receive(s, node, method, target, body, answer, index, 0, (int)op);
}

struct sim_line {
    struct sim *sim;
    int node;
    unsigned long life;
};

/* A node's call into the world. */
static void call_start(struct sim_line *line, bool once, const char *addr, const char *method,
                       const char *target, const char *body, double timeout_s, rp_answer_fn fn,
                       void *arg) {
    struct sim *s = line->sim;
    observe(s, (struct sim_message){.from = line->node,
                                    .to = addr,
                                    .method = method,
                                    .target = target,
                                    .body = body ? body : ""});
    struct sim_event *e = sim_event_new(s, EV_REQUEST, delay(s));
    e->node = line->node;
    e->life = line->life;
    snprintf(e->addr, sizeof e->addr, "%s", addr);
    snprintf(e->method, sizeof e->method, "%s", method);
    e->target = strdup(target);
    e->body = body ? strdup(body) : NULL;
    e->deadline = s->now + timeout_s;
    e->fn = fn;
    e->arg = arg;
    bool watch = strncmp(target, "/follow", 7) == 0;
    bool lost = !watch && sim_chance(s, s->faults.lose);
    e->unsent =
        lost && once && sim_chance(s, 0.5); /* no connection was made: no copy of it exists */
    if (!e->unsent && sim_chance(s, s->faults.repeat) && strcmp(method, "GET") != 0 &&
        strcmp(target, "/leases") != 0) {
        struct sim_event *copy = sim_event_new(s, EV_REQUEST, 0.05 + 30 * sim_uniform(s));
        *copy = (struct sim_event){.kind = EV_REQUEST, .due = copy->due, .answered = true};
        copy->node = e->node;
        strcpy(copy->addr, addr);
        strcpy(copy->method, method);
        copy->target = strdup(target);
        copy->body = body ? strdup(body) : NULL;
    }
    if (strcmp(addr, "state") == 0 && !watch && sim_chance(s, s->faults.slow))
        e->due += 0.2 + 1.2 * sim_uniform(s);
    if (lost)
        e->due = e->deadline; /* never carried out: the time-out answers */
    else if (!watch && sim_chance(s, s->faults.late))
        e->due = s->now + timeout_s + 30 * sim_uniform(s);
    else if (strcmp(target, "/txn") == 0)
        sim_trouble_txn(s, e);
}

static void line_call(void *ctx, const char *addr, const char *method, const char *target,
                      const char *body, double timeout_s, rp_answer_fn fn, void *arg) {
    call_start(ctx, false, addr, method, target, body, timeout_s, fn, arg);
}

static void line_call_once(void *ctx, const char *addr, const char *method, const char *target,
                           const char *body, double timeout_s, rp_answer_fn fn, void *arg) {
    call_start(ctx, true, addr, method, target, body, timeout_s, fn, arg);
}

static void answer_call(struct sim *s, struct sim_event *e, int status, json_t *out) {
    struct sim_node *n = &s->nodes[e->node];
    char *text = out ? json_dumps(out, JSON_COMPACT) : NULL;
    struct rp_answer answer = {.status = status,
                               .unsent = status == 0 && e->unsent,
                               .body = text ? text : "",
                               .len = text ? strlen(text) : 0};
    e->answered = true;
    if (n->alive && n->life == e->life)
        e->fn(e->arg, &answer);
    free(text);
}

/* Nodes answer one another at once, so the answer can be kept on the stack. */
struct peer_request {
    struct rp_request req;
    const struct sim *sim;
    int from, to;
    int status;
    json_t *body;
};

static void peer_respond(struct rp_request *req, int status, const char *body, int retry_after) {
    struct peer_request *r = (struct peer_request *)(void *)req;
    char to[32];
    snprintf(to, sizeof to, "peer%d", r->to);
    observe(r->sim, (struct sim_message){.from = r->from,
                                         .to = to,
                                         .method = req->method,
                                         .target = req->target,
                                         .status = status,
                                         .retry_after = retry_after,
                                         .body = body});
    r->status = status;
    r->body = json_loads(body, 0, NULL);
}

static int peer_call(struct sim *s, const struct sim_event *e, json_t **out) {
    int index = e->addr[strlen("peer")] - '0';
    struct sim_node *n = &s->nodes[index];
    struct peer_request r = {
        .req = {.method = e->method, .target = e->target, .body = "", .respond = peer_respond},
        .sim = s,
        .from = index,
        .to = e->node};
    if (!n->alive || s->now < n->stalled_until || s->now < s->apart_until)
        return 0;
    if (n->old_node)
        sim_old_engine->peer(n->old_node, &r.req);
    else
        rp_node_peer_request(n->node, &r.req);
    *out = r.body;
    return r.status;
}

/* The node that the request goes to stands still: no answer, and no refusal either. */
static bool peer_stands_still(const struct sim *s, const struct sim_event *e) {
    return strncmp(e->addr, "peer", 4) == 0 &&
           s->now < s->nodes[e->addr[strlen("peer")] - '0'].stalled_until;
}

static bool to_worker(const struct sim_event *e) {
    return strncmp(e->addr, "vm-", 3) == 0;
}

static void time_out(struct sim *s, struct sim_event *e) {
    if (!e->answered)
        answer_call(s, e, 0, NULL);
}

/* A node that has lost the state service and the other nodes reaches neither; a request already
 * under way may still be carried out. */
static bool cut_off(const struct sim *s, const struct sim_event *e) {
    bool peer = strncmp(e->addr, "peer", 4) == 0;
    return s->now < s->nodes[e->node].alone_until ||
           (peer && s->now < s->nodes[e->addr[strlen("peer")] - '0'].alone_until);
}

/* Returns true when the event is over. */
static bool request_arrives(struct sim *s, struct sim_event *e) {
    json_t *out = NULL, *body;
    int status;
    bool watch = strncmp(e->target, "/follow", 7) == 0;
    if (!e->answered && s->nodes[e->node].alive && s->now < s->nodes[e->node].stalled_until) {
        e->due = s->now + 0.1; /* the node takes no answer just now */
        return false;
    }
    if (watch && e->answered)
        return true;
    if (!e->answered && peer_stands_still(s, e) && s->now < e->deadline) {
        e->due = e->deadline;
        return false;
    }
    if (!e->answered && strcmp(e->addr, "cloud") != 0 && cut_off(s, e)) {
        e->due = e->deadline + SIM_STEP_S; /* silence: the time-out answers */
        return false;
    }
    if (watch) {
        bool cut = s->now < s->outage_until || s->now < s->nodes[e->node].refused_until;
        out = cut ? NULL : state_news(s, e->target);
        if (s->now < e->deadline - 1.5 && (!out || !json_array_size(json_object_get(out, "log")))) {
            json_decref(out);
            e->due = s->now + SIM_STEP_S;
            return false;
        }
        answer_call(s, e, out ? 200 : 503, out);
        json_decref(out);
        return true;
    }
    if (!e->answered && s->now >= e->deadline && (e->unsent || sim_chance(s, 0.5))) {
        time_out(s, e);
        return true;
    }
    if (to_worker(e) && worker_waits(s, e)) {
        if (!e->answered && s->now >= e->deadline)
            time_out(s, e);
        e->due = s->now + 0.1; /* carried out when the machine goes on, if it still may be */
        return false;
    }
    if (!e->answered && s->now >= e->deadline)
        time_out(s, e);
    body = e->body ? json_loads(e->body, 0, NULL) : NULL;
    if (strcmp(e->addr, "state") == 0)
        status = state_request(s, e, body, &out);
    else if (strcmp(e->addr, "cloud") == 0)
        status = cloud_request(s, e, body, &out);
    else if (to_worker(e))
        status = worker_request(s, e, body, &out);
    else
        status = peer_call(s, e, &out);
    if (!e->answered) {
        e->unsent = false;
        if (sim_chance(s, s->faults.lose))
            time_out(s, e);
        else
            answer_call(s, e, status, out);
    }
    json_decref(out);
    json_decref(body);
    return true;
}

static void node_start(struct sim *s, int index) {
    struct sim_node *n = &s->nodes[index];
    if (s->remote)
        return;
    struct sim_line *line = calloc(1, sizeof *line);
    if (!line)
        abort();
    *line = (struct sim_line){.sim = s, .node = index, .life = ++n->life};
    struct rp_net net = {.ctx = line, .call = line_call, .call_once = line_call_once};
    n->alive = true;
    n->old = n->next_old;
    n->drift = 1.0 + 0.0005 * sim_uniform(s);
    n->offset = 100 + 1000 * sim_uniform(s) - s->now * n->drift;
    double now = n->offset + s->now * n->drift;
    if (n->old && sim_old_engine) {
        n->old_node = sim_old_engine->open(n->settings, &net, now);
        if (!n->old_node)
            abort();
        return;
    }
    n->node = calloc(1, sizeof *n->node);
    if (!n->node)
        abort();
    s->settings[index].tuning.keep_old_forms = n->old;
    rp_loop_init(&n->loop, true);
    n->loop.virtual_now = rp_ts(now);
    if (rp_node_init(n->node, &n->loop, net, &s->settings[index]) < 0)
        abort();
    rp_node_start(n->node);
}

void sim_crash(struct sim *s, int node, double back_s) {
    struct sim_node *n = &s->nodes[node];
    if (!n->alive)
        return;
    /* What the process held is gone with it; requests under way are leaked on purpose, as the
     * node's call-backs must never run again. */
    n->alive = false;
    n->back = s->now + back_s;
    if (n->old_node) {
        sim_old_engine->close(n->old_node);
        n->old_node = NULL;
        return;
    }
    rp_node_close(n->node);
    rp_loop_close(&n->loop);
}

void sim_upgrade(struct sim *s, int node, double back_s) {
    sim_crash(s, node, back_s);
    s->nodes[node].next_old = s->nodes[node].old = false;
}

void sim_all_old(struct sim *s) {
    for (int i = 0; i < s->n_nodes; i++) {
        s->nodes[i].next_old = true;
        sim_crash(s, i, 0);
        node_start(s, i);
    }
}

void sim_lower_limits(struct sim *s) {
    s->limits = s->next;
    s->write_room = fmin(s->write_room, s->next.write_rps);
}

void sim_store(struct sim *s, const char *key, const char *text) {
    json_t *v = json_loads(text, JSON_DECODE_ANY, NULL);
    if (!v)
        abort();
    s->revision++;
    key_put(s, key, v, 0);
    json_decref(v);
}

const json_t *sim_stored(struct sim *s, const char *key) {
    struct sim_key *k = key_find(s, key);
    return k ? k->value : NULL;
}

bool sim_saved(struct sim *s, const char *job, uint32_t task) {
    char key[RP_KEY_MAX];
    uint8_t bits[RP_CHUNK_BYTES] = {0};
    rp_key_progress(key, job, 0);
    struct sim_key *chunk = key_find(s, key);
    rp_key_unit(key, job, 0);
    struct sim_key *unit = key_find(s, key);
    if (chunk && !rp_record_progress_read(chunk->value, bits, (SIM_JOB_TASKS + 7) / 8))
        abort();
    if (unit && !rp_record_progress_read(unit->value, bits, (SIM_JOB_TASKS + 7) / 8))
        abort();
    return bits[task / 8] >> (task % 8) & 1;
}

size_t sim_count_stored(struct sim *s, const char *prefix) {
    size_t n = 0;
    for (int i = 0; i < s->n_keys; i++)
        n += has_prefix(s->keys[i].key, prefix);
    return n;
}

static bool node_leads(const struct sim_node *n) {
    if (!n->alive)
        return false;
    return n->old_node ? sim_old_engine->leads(n->old_node) : n->node->at == RP_NODE_LEADING;
}

int sim_leader(const struct sim *s) {
    for (int i = 0; i < s->n_nodes; i++)
        if (node_leads(&s->nodes[i]))
            return i;
    return -1;
}

static void node_step(struct sim *s, int index) {
    struct sim_node *n = &s->nodes[index];
    if (!n->alive) {
        if (s->now >= n->back)
            node_start(s, index);
        return;
    }
    if (s->now < n->stalled_until)
        return;
    double now = n->offset + s->now * n->drift;
    if (n->old_node)
        sim_old_engine->advance(n->old_node, now);
    else
        rp_loop_advance(&n->loop, rp_ts(now));
}

/* ---- users ---- */

void sim_user_send(struct sim *s, int job, enum sim_user_op op, int node) {
    static const char *const ends[] = {"", "", "/cancel"};
    char target[128];
    if (s->cut_node == node + 1)
        return;
    snprintf(target, sizeof target, op == USER_SUBMITS ? "/v1/jobs%.0s%.0s" : "/v1/jobs/%s%s",
             s->jobs[job].spec.id, ends[op]);
    sim_ask(s, node, op == USER_POLLS ? "GET" : "POST", target,
            op == USER_SUBMITS ? s->jobs[job].body : "", EV_USER, job, op);
}

static void user_send(struct sim *s, int job, enum sim_user_op op) {
    sim_user_send(s, job, op, (int)gsl_rng_uniform_int(s->rng, (unsigned long)s->n_nodes));
}

static void user_answered(struct sim *s, const struct sim_event *e) {
    struct sim_job *job = &s->jobs[e->worker];
    if (s->breakage == SIM_POLLS_GET_LOST && e->worker == 0 && job->accepted)
        return;
    json_t *body = json_loads(e->body, 0, NULL);
    const char *word = json_string_value(json_object_get(body, "tension"));
    if (e->status == 404 && job->accepted)
        sim_broken(s, "forgotten: %s gets 404", job->spec.id);
    if ((e->status == 400 || e->status == 422) && job->accepted)
        sim_broken(s, "forgotten: %s gets %d", job->spec.id, e->status);
    bool untold = s->breakage == SIM_GANGS_ARE_NOT_SERVED && job->spec.kind == RP_GANG;
    if (untold && word && strcmp(word, "done") == 0)
        word = "running";
    if (s->breakage == SIM_ANSWERS_ARE_OLD && job->told_done)
        word = "pending";
    if (word) {
        s->n_polls_known += e->user_op == USER_POLLS;
        job->known_at = s->now;
        if (!job->accepted) {
            job->accepted_at = s->now;
            job->accepted = true;
            if (job->cancel_on_acceptance)
                job->cancel_at = s->now;
            sim_look_closely(s, e->worker);
        }
        if (strcmp(word, "done") == 0) {
            if (job->told_cancelled)
                sim_broken(s, "went_back: %s", job->spec.id);
            sim_check_done(s, job);
            s->n_done_jobs += !job->told_done;
            if (!job->told_done) {
                job->told_at = s->now;
                job->told_done = true;
                sim_look_closely(s, e->worker);
            }
        } else if (strcmp(word, "aborted") == 0) {
            if (job->told_done || !job->cancel_asked)
                sim_broken(s, "went_back: %s cancelled", job->spec.id);
            if (!job->told_cancelled) {
                job->cancelled_at = job->told_at = s->now;
                job->told_cancelled = true;
                sim_look_closely(s, e->worker);
            }
        } else if ((job->told_done || job->told_cancelled) && e->asked > job->told_at) {
            /* An answer may cross another on its way: only what was asked afterwards counts. */
            sim_broken(s, "went_back: %s is %s", job->spec.id, word);
        }
    }
    json_decref(body);
}

static void user_step(struct sim *s, int index) {
    struct sim_job *job = &s->jobs[index];
    if (s->now < job->submit_at)
        return;
    if (!job->accepted || sim_chance(s, 0.0002)) {
        if (!job->accepted)
            job->submit_at = s->now + 1;
        user_send(s, index, USER_SUBMITS);
        return;
    }
    bool over = job->told_cancelled || job->told_done;
    if (job->cancel_at > 0 && s->now > job->cancel_at && (!over || job->cancel_again)) {
        job->cancel_again = job->cancel_again && !over; /* once more, when it is over */
        job->cancel_asked = true;
        job->cancel_at = s->now + 1;
        user_send(s, index, USER_CANCELS);
    }
    if (s->now > job->poll_at) {
        /* Hundreds of users who go on asking about what is over would be all that is measured. */
        bool seldom = over && s->n_jobs > 128;
        double again = (seldom ? 20 : 2) + 3 * sim_uniform(s);
        job->poll_at = s->now + again * (s->eager_polls ? 0.05 : 1);
        s->n_polls++;
        user_send(s, index, USER_POLLS);
    }
}

int sim_submit(struct sim *s, double at, const char *kind, unsigned tasks, double cpus,
               double run_s, double cancel_at) {
    struct sim_job *job = &s->jobs[s->n_jobs];
    char id[32], why[128];
    snprintf(id, sizeof id, "j-%06d", s->n_jobs);
    bool gang = strncmp(kind, "ensemble", strlen("ensemble")) == 0;
    bool service = strcmp(kind, "service") == 0;
    bool low = !gang || strcmp(kind, "ensemble:low") == 0;
    json_t *v = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:s,s:f,s:n,s:n,s:b,s:b,s:b,s:f,s:f,s:f,s:n}", "ref",
        id, "rig",
        gang      ? "g"
        : service ? "s"
                  : "a",
        "crew", "t", "haul", gang ? "ensemble" : kind, "precedence",
        service ? "critical"
        : low   ? "low"
                : "urgent",
        "lifts", (int)tasks, "vcpus", cpus, "cards", 0.0, "memory_gb", 2.0, "payload", "img-1",
        "image_gb", 1.0, "frames", "yard", "one_zone", gang, "spread", service, "loaners", !service,
        "run_guess_s", service ? 0.0 : run_s, "brace_every_s", service ? 0.0 : 5.0, "brace_s", 1.0,
        "due_s");
    if (!v || !rp_wire_spec_read(v, &job->spec, why))
        abort();
    job->used = true;
    job->body = json_dumps(v, JSON_COMPACT);
    job->submit_at = at;
    job->cancel_at = cancel_at;
    json_decref(v);
    return s->n_jobs++;
}

void sim_change(struct sim *s, int index, const char *field, json_t *value) {
    struct sim_job *job = &s->jobs[index];
    char why[128];
    json_t *v = json_loads(job->body, 0, NULL);
    json_object_set_new(v, field, value);
    rp_job_spec_free(&job->spec);
    if (!rp_wire_spec_read(v, &job->spec, why))
        abort();
    free(job->body);
    job->body = json_dumps(v, JSON_COMPACT);
    json_decref(v);
}

int sim_submit_long(struct sim *s, double at, unsigned tasks, double run_s) {
    int index = sim_submit(s, at, "sweep", tasks, 1, run_s, 0);
    struct sim_job *job = &s->jobs[index];
    json_t *v = json_loads(job->body, 0, NULL), *types = json_array();
    char text[RP_TEXT_MAX];
    memset(text, 1, sizeof text - 1); /* each takes six bytes in JSON */
    text[sizeof text - 1] = '\0';
    json_object_set_new(v, "rig", json_string(text));
    json_object_set_new(v, "payload", json_string(text));
    for (int i = 0; i < 900; i++) {
        snprintf(text, sizeof text, "a-type-that-no-machine-is-of-%d", i);
        json_array_append_new(types, json_string(i % 300 == 7 ? "wide" : text));
    }
    json_object_set_new(v, "frames", types);
    free(job->body);
    job->body = json_dumps(v, JSON_COMPACT);
    json_decref(v);
    return index;
}

/* ---- the world's steps ---- */

/* A zone that is cut off keeps working inside, with the node that is in it. */
static void report_arrives(struct sim *s, const struct sim_event *e) {
    for (int node = 0; node < s->n_nodes; node++) {
        bool inside = s->cut_node == node + 1;
        bool from_inside = s->cut_zone && s->cut_zone == s->workers[e->worker].zone + 1;
        if ((node != e->node && !e->for_next) || s->cut_from_workers == node + 1 ||
            inside != from_inside)
            continue;
        node_receive(s, node, "POST", RP_PATH_REPORT, e->body, EV_REPORT_ANSWER, e->worker,
                     e->flight, 0);
    }
    s->n_kept -= e->for_next;
}

static void happen(struct sim *s) {
    for (int i = 0; i < s->n_events; i++) {
        struct sim_event *e = s->events[i];
        bool over = true;
        if (e->kind == EV_REQUEST && !e->answered && s->now >= e->deadline && e->due > s->now &&
            s->now >= s->nodes[e->node].stalled_until)
            time_out(s, e);
        if (e->due > s->now)
            continue;
        switch (e->kind) {
        case EV_REQUEST:
            over = request_arrives(s, e);
            break;
        case EV_REPORT:
            report_arrives(s, e);
            break;
        case EV_REPORT_ANSWER:
            report_answered(s, e);
            break;
        case EV_USER:
            user_answered(s, e);
            break;
        case EV_LOOK:
            sim_user_send(s, e->worker, (enum sim_user_op)e->user_op, e->node);
            break;
        case EV_ODD:
            sim_check_odd(s, e);
            break;
        }
        if (over) {
            /* Call-backs may have added events: only the slot is reused. */
            s->events[i] = s->events[--s->n_events];
            event_free(e);
            i--;
        }
    }
}

static void leases_step(struct sim *s) {
    /* Leases stand still during an outage, and have their full time again after it. */
    for (int i = 0; i < SIM_LEASES; i++) {
        struct sim_lease *l = &s->leases[i];
        if (l->id && s->now < s->outage_until)
            l->ends = s->now + l->ttl;
        if (l->id && s->now > l->ends)
            lease_expire(s, l);
    }
}

void sim_step(struct sim *s, double now) {
    s->now = now;
    sim_trouble_step(s);
    leases_step(s);
    for (int i = 0; i < s->n_nodes && !s->remote; i++)
        node_step(s, i);
    for (int i = 0; i < s->size.workers; i++)
        worker_step(s, i);
    for (int i = 0; i < s->n_jobs; i++)
        user_step(s, i);
    happen(s);
    s->steps++;
    sim_check_step(s);
}

void sim_run(struct sim *s, double seconds) {
    double end = s->now + seconds;
    while (s->now < end && !s->broken[0])
        sim_step(s, s->now + SIM_STEP_S);
}

/* The process that asks isn't told apart: no trouble befalls single ones. */
#define REMOTE_NODE (SIM_NODES_MAX - 1)

void sim_remote_request(struct sim *s, const char *addr, const char *method, const char *target,
                        const char *body, rp_answer_fn fn, void *arg) {
    struct sim_event *e = sim_event_new(s, EV_REQUEST, delay(s));
    char hold_ms[32];
    double timeout_s = 60;
    if (strncmp(target, "/follow", 7) == 0) /* request_arrives answers 1.5 s before the time-out */
        timeout_s =
            1.5 +
            strtod(param(target, "hold_ms=", hold_ms, sizeof hold_ms) ? hold_ms : "0", NULL) / 1000;
    e->node = REMOTE_NODE;
    snprintf(e->addr, sizeof e->addr, "%s", addr);
    snprintf(e->method, sizeof e->method, "%s", method);
    e->target = strdup(target);
    e->body = strdup(body);
    e->deadline = s->now + timeout_s;
    e->fn = fn;
    e->arg = arg;
}

bool sim_all_over(const struct sim *s) {
    for (int i = 0; i < s->n_jobs; i++)
        if (!s->jobs[i].told_done && !s->jobs[i].told_cancelled && !s->jobs[i].faulty)
            return false;
    return true;
}

static const char settings_text[] =
    "{\"node_name\":\"n%d\",\"location\":\"a\",\"client_listen\":\"10.0.0.1:1\",\"peer_listen\":"
    "\"10.0.0.1:2\",\"seeds\":[%s],\"external\":{\"cloud\":\"cloud\",\"state\":\"state\"},"
    "\"params\":{\"nodes\":%d,\"zones\":[\"a\",\"b\"],\"teams\":[{\"name\":\"t\",\"cpus\":0,"
    "\"cpus_max\":60,\"gpus\":0,\"gpus_max\":0},{\"name\":\"guests\",\"cpus\":0,\"cpus_max\":0,"
    "\"gpus\":0,\"gpus_max\":0}],\"objectives\":[],\"workers\":{\"report_s\":%g,"
    "\"lease_s\":%g,\"gang_wait_s\":40,\"gang_peer_s\":5,\"cancel_s\":%g},\"state\":{\"rps\":%g,"
    "\"write_rps\":%g,\"value_kb\":8,\"txn_ops\":8,\"next\":{\"write_rps\":%g,"
    "\"value_kb\":1,\"txn_ops\":4}},\"cloud\":{\"rps\":%g,\"list_lag_s\":3},"
    "\"machine_limits\":{\"cpu_share\":0.1,\"mem_mb\":64,\"max_connections\":800}}}";

struct sim *sim_new(unsigned long seed, const struct sim_faults *faults, enum sim_breakage breakage,
                    int n_nodes) {
    static const struct sim_size small = {64, 6, 2, 14, 39, 200, 20, 5};
    return sim_new_sized(seed, faults, breakage, n_nodes, &small);
}

static struct sim *world_new(unsigned long seed, const struct sim_faults *faults,
                             enum sim_breakage breakage, int n_nodes, const struct sim_size *size,
                             const struct sim_remote *remote) {
    struct sim *s = calloc(1, sizeof *s);
    if (!s)
        abort();
    s->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(s->rng, seed);
    s->size = *size;
    s->n_nodes = n_nodes;
    s->remote = remote;
    s->faults = *faults;
    s->breakage = breakage;
    s->limits = (struct sim_limits){8192, 8, size->write_rps};
    s->next = (struct sim_limits){1024, 4, size->write_rps * 0.75};
    s->write_room = size->write_rps;
    s->log = json_array();
    s->rentals = json_object();
    for (int i = 0; i < s->n_nodes; i++) {
        char *text;
        char peers[1024] = "";
        for (int p = 0; p < s->n_nodes; p++)
            if (p != i)
                sprintf(peers + strlen(peers),
                        "%s{\"node_name\":\"n%d\",\"location\":\"a\",\"addr\":\"peer%d\"}",
                        *peers ? "," : "", p, p);
        if (asprintf(&text, settings_text, i, peers, s->n_nodes, size->report_s, size->lease_s,
                     size->cancel_s, size->rps, size->write_rps, size->write_rps * 0.75,
                     size->cloud_rps) < 0 ||
            rp_settings_parse(&s->settings[i], text, "settings", stderr))
            abort();
        s->nodes[i].settings = text;
        rp_settings_complete(&s->settings[i]);
        s->settings[i].tuning.round_period_s = 2;
        s->settings[i].tuning.standby = sim_standby || getenv("RP_SIM_STANDBY");
        node_start(s, i);
    }
    return s;
}

struct sim *sim_new_sized(unsigned long seed, const struct sim_faults *faults,
                          enum sim_breakage breakage, int n_nodes, const struct sim_size *size) {
    return world_new(seed, faults, breakage, n_nodes, size, NULL);
}

struct sim *sim_new_remote(unsigned long seed, int n_nodes, const struct sim_size *size,
                           const struct sim_remote *remote) {
    static const struct sim_faults none = {0};
    struct sim *s = world_new(seed, &none, SIM_SOUND, n_nodes, size, remote);
    s->nodes[REMOTE_NODE].alive = true;
    return s;
}

void sim_free(struct sim *s) {
    s->nodes[REMOTE_NODE].alive &= !s->remote;
    for (int i = 0; i < s->n_nodes; i++) {
        sim_crash(s, i, 1e9);
        free(s->nodes[i].settings);
        rp_settings_free(&s->settings[i]);
    }
    for (int i = 0; i < s->n_events; i++)
        event_free(s->events[i]);
    while (s->n_keys > 0)
        key_delete(s, &s->keys[s->n_keys - 1]);
    for (int i = 0; i < s->n_jobs; i++) {
        free(s->jobs[i].body);
        rp_job_spec_free(&s->jobs[i].spec);
    }
    json_decref(s->log);
    json_decref(s->rentals);
    gsl_rng_free(s->rng);
    free(s);
}
