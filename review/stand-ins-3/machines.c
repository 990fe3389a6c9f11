/* The stand-ins of the cloud and of the workers: PROTOCOL, "Controller nodes -> cloud", "Workers ->
 * controller nodes" and "Controller nodes -> workers". */
#include <stdlib.h>
#include <string.h>
#include "stage.h"

#define LIST_LAG_S 3.0
#define BOOT_S 1.5 /* "at times machines are up within a second or two" */
#define ANSWER_TIMEOUT_S 4.0

static const struct type {
    const char *name;
    double cpus, gpus, memory_gb, fetch_gb_per_s, price, spot_price, boot_s;
} types[] = {{"kea-small", 8, 0, 32, 0.4, 0.36, 0.11, 35},
             {"moa-wide", 64, 0, 256, 0.6, 3.11, 0.93, 50},
             {"tui-gpu", 24, 4, 144, 0.2, 10.51, 3.23, 40}};
#define N_TYPES (sizeof types / sizeof types[0])
static const char *const zones[] = {"kaikoura", "rimutaka", "tarawera"};

static const struct type *find_type(const char *name) {
    for (size_t i = 0; i < N_TYPES; i++)
        if (name && strcmp(types[i].name, name) == 0)
            return &types[i];
    return NULL;
}

static const char *find_zone(const char *name) {
    for (size_t i = 0; i < 3; i++)
        if (name && strcmp(zones[i], name) == 0)
            return zones[i];
    return NULL;
}

static bool is_alive(const struct machine *machine) {
    return machine->exists && !machine->has_stopped && now_s() >= machine->up_at;
}

static void respond_json(struct rp_request *req, int status, json_t *body) {
    char *text = json_dumps(body, JSON_COMPACT);
    req->respond(req, status, text, 0);
    free(text);
    json_decref(body);
}

/* ---- the worker ---- */

static const char *state_name(enum task_state state) {
    return state == FETCHING ? "fetching" : state == RUNNING ? "running" : "exited";
}

static json_t *report_of(struct machine *machine) {
    json_t *lifts = json_array();
    for (size_t i = 0; i < machine->n_tasks; i++) {
        const struct task *task = &machine->tasks[i];
        char name[NAME_BYTES + 16];
        snprintf(name, sizeof name, "%s/%u", task->job, task->index);
        json_t *lift = json_pack("{s:s,s:I,s:s}", "lift", name, "pull", (json_int_t)task->attempt,
                                 "tension", state_name(task->state));
        if (task->state == EXITED)
            json_object_set_new(lift, "slack_reason", json_string(task->exit_reason));
        json_array_append_new(lifts, lift);
    }
    machine->tick++;
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "sheave", machine->name,
                     "address", machine->address, "frame", machine->type, "yard", machine->zone,
                     "loaners", machine->spot, "stint", (json_int_t)machine->stint, "tick",
                     (json_int_t)machine->tick, "warrant", (json_int_t)machine->warrant, "recall_s",
                     "lifts", lifts);
}

static void set_exited(struct machine *machine, struct task *task, const char *reason) {
    task->state = EXITED;
    task->exit_reason = reason;
    machine->has_changed = true;
    note("task %s/%u attempt %llu exited on %s: %s", task->job, task->index,
         (unsigned long long)task->attempt, machine->name, reason);
}

/* A task is on its machine from the moment it has its image (PROTOCOL, "How aims are counted"). */
static void check_start(const struct machine *machine, const struct task *task) {
    const struct job *job = find_job(task->job);
    for (size_t i = 0; i < stage.n_machines; i++) {
        const struct machine *other = &stage.machines[i];
        if (other == machine || !other->exists || other->has_stopped)
            continue;
        for (size_t k = 0; k < other->n_tasks; k++)
            if (other->tasks[k].state == RUNNING && other->tasks[k].index == task->index &&
                strcmp(other->tasks[k].job, task->job) == 0)
                break_rule("ran_twice: %s/%u starts on %s while it is on %s", task->job,
                           task->index, machine->name, other->name);
    }
    if (job && job->cancelled_at > 0 && now_s() > job->cancelled_at + stage.cancel_s)
        break_rule("ran_cancelled: %s/%u starts on %s %.1f s after its user was told that it is "
                   "cancelled",
                   task->job, task->index, machine->name, now_s() - job->cancelled_at);
}

static void begin_run(struct machine *machine, struct task *task) {
    const struct job *job = find_job(task->job);
    snprintf(machine->image, sizeof machine->image, "%s",
             json_string_value(json_object_get(job->body, "payload")));
    check_start(machine, task);
    task->state = RUNNING;
    task->ends_at = job->run_s > 0 ? now_s() + job->run_s : 0;
    machine->has_changed = true;
    note("task %s/%u attempt %llu runs on %s", task->job, task->index,
         (unsigned long long)task->attempt, machine->name);
}

static double amount(const struct job *job, const char *name) {
    return json_number_value(json_object_get(job->body, name));
}

static bool has_room(const struct machine *machine, const struct job *job) {
    const struct type *type = find_type(machine->type);
    double cpus = type->cpus - amount(job, "vcpus");
    double gpus = type->gpus - amount(job, "cards");
    double memory_gb = type->memory_gb - amount(job, "memory_gb");
    for (size_t i = 0; i < machine->n_tasks; i++) {
        const struct job *other = find_job(machine->tasks[i].job);
        if (machine->tasks[i].state == EXITED || !other)
            continue;
        cpus -= amount(other, "vcpus");
        gpus -= amount(other, "cards");
        memory_gb -= amount(other, "memory_gb");
    }
    return cpus > -1e-6 && gpus > -1e-6 && memory_gb > -1e-6;
}

static void run_task(struct machine *machine, const char *name, unsigned index, uint64_t attempt) {
    const struct job *job = find_job(name);
    bool is_present = false;
    for (size_t i = 0; i < machine->n_tasks; i++) {
        const struct task *task = &machine->tasks[i];
        if (task->index != index || strcmp(task->job, name) != 0)
            continue;
        if (task->attempt == attempt)
            return; /* no effect */
        is_present |= task->state != EXITED;
    }
    if (machine->n_tasks == TASKS_MAX)
        abort();
    const char *refused = NULL;
    if (!job)
        refused = "no_such";
    else if (is_present)
        refused = "in_use";
    else if (!has_room(machine, job))
        refused = "no_room";
    struct task *task = &machine->tasks[machine->n_tasks++];
    *task = (struct task){.index = index, .attempt = attempt, .state = FETCHING};
    snprintf(task->job, sizeof task->job, "%s", name);
    machine->has_changed = true;
    if (refused) {
        set_exited(machine, task, refused);
        return;
    }
    bool has_image =
        strcmp(machine->image, json_string_value(json_object_get(job->body, "payload"))) == 0;
    task->ends_at = now_s() + (has_image ? 0 : job->fetch_s);
    note("run %s/%u attempt %llu received by %s", name, index, (unsigned long long)attempt,
         machine->name);
}

static void execute(struct machine *machine, const json_t *signals) {
    json_t *command;
    size_t i;
    json_array_foreach((json_t *)signals, i, command) {
        char job[NAME_BYTES];
        unsigned index;
        const char *kind = json_string_value(json_object_get(command, "signal"));
        const char *lift = json_string_value(json_object_get(command, "lift"));
        uint64_t attempt = (uint64_t)json_integer_value(json_object_get(command, "pull"));
        if (!lift || sscanf(lift, "%63[^/]/%u", job, &index) != 2)
            continue;
        if (strcmp(kind, "run") == 0) {
            run_task(machine, job, index, attempt);
            continue;
        }
        for (size_t k = 0; k < machine->n_tasks; k++) {
            struct task *task = &machine->tasks[k];
            if (task->index != index || task->attempt != attempt || strcmp(task->job, job) != 0)
                continue;
            if (strcmp(kind, "halt") == 0 && task->state != EXITED)
                set_exited(machine, task, "halted");
            else if (strcmp(kind, "forget") == 0 && task->state == EXITED)
                machine->tasks[k] = machine->tasks[--machine->n_tasks];
            break;
        }
    }
}

struct report {
    struct machine *machine;
    unsigned number;
    uint64_t stint;
    double sent_at;
};

static int node_named(const char *name) {
    for (int i = 0; i < NODES; i++)
        if (name && strcmp(stage.nodes[i].name, name) == 0)
            return i;
    return -1;
}

static void try_next_node(struct machine *machine) {
    machine->node = (machine->node + 1) % NODES;
    machine->next_report_at = now_s() + 1;
}

static void on_report_answered(void *arg, const struct rp_response *answer) {
    struct report report = *(struct report *)arg;
    struct machine *machine = report.machine;
    free(arg);
    if (!machine->is_reporting || machine->report_number != report.number)
        return;
    machine->is_reporting = false;
    if (!is_alive(machine) || machine->is_cut) {
        try_next_node(machine);
        return;
    }
    json_t *body = json_loadb(answer->body, answer->len, 0, NULL);
    if (answer->status == 421) {
        int named = node_named(json_string_value(json_object_get(body, "foreman")));
        if (named >= 0 && named != machine->node) {
            machine->node = named;
            machine->next_report_at = now_s() + 0.1;
        } else {
            try_next_node(machine);
        }
    } else if (answer->status != 200) {
        try_next_node(machine);
    } else {
        double period_s = stage.report_s * (0.75 + 0.5 * drand48());
        machine->next_report_at = report.sent_at + period_s;
        uint64_t warrant = (uint64_t)json_integer_value(json_object_get(body, "warrant"));
        bool is_accepted = json_is_integer(json_object_get(body, "warrant")) &&
                           warrant >= machine->warrant && report.stint == machine->stint;
        if (is_accepted) {
            machine->has_changed |= warrant > machine->warrant;
            machine->warrant = warrant;
            machine->answered_sent_at = report.sent_at;
            execute(machine, json_object_get(body, "signals"));
        }
    }
    json_decref(body);
}

static void send_report(struct machine *machine) {
    struct report *report = calloc(1, sizeof *report);
    *report = (struct report){machine, ++machine->report_number, machine->stint, now_s()};
    json_t *body = report_of(machine);
    char *text = json_dumps(body, JSON_COMPACT);
    machine->is_reporting = true;
    machine->has_changed = false;
    machine->last_report_at = report->sent_at;
    stage.net.call(stage.net.ctx, stage.nodes[machine->node].client_addr, "POST", "/checkin", text,
                   ANSWER_TIMEOUT_S, on_report_answered, report);
    free(text);
    json_decref(body);
}

static double last_sign_of_lease(const struct machine *machine) {
    return machine->answered_sent_at > machine->session_began_at ? machine->answered_sent_at
                                                                 : machine->session_began_at;
}

static void worker_step(struct machine *machine) {
    double t = now_s();
    if (t > last_sign_of_lease(machine) + stage.lease_s) {
        note("lease of %s ended: session %llu, %zu tasks", machine->name,
             (unsigned long long)machine->stint, machine->n_tasks);
        machine->n_tasks = 0;
        machine->stint++;
        machine->session_began_at = t;
        machine->has_changed = true;
    }
    for (size_t i = 0; i < machine->n_tasks; i++) {
        struct task *task = &machine->tasks[i];
        const struct job *job = find_job(task->job);
        if (task->state == FETCHING && t >= task->ends_at)
            begin_run(machine, task);
        else if (task->state == RUNNING && task->ends_at > 0 && t >= task->ends_at)
            set_exited(machine, task, "done");
        if (task->state == RUNNING && job->cancelled_at > 0 &&
            t > job->cancelled_at + stage.cancel_s)
            break_rule("ran_cancelled: %s/%u is on %s %.1f s after its user was told that it is "
                       "cancelled",
                       task->job, task->index, machine->name, t - job->cancelled_at);
    }
    bool is_due = t >= machine->next_report_at ||
                  (machine->has_changed && t >= machine->last_report_at + 0.5 &&
                   machine->next_report_at - t < stage.report_s * 1.25 + 0.1 &&
                   machine->answered_sent_at >= machine->last_report_at);
    if (!machine->is_reporting && is_due && !machine->is_cut)
        send_report(machine);
}

static void on_direct_request(void *arg, struct rp_request *req) {
    struct machine *machine = arg;
    if (!is_alive(machine) || machine->is_cut)
        return; /* silent: the request is never answered */
    if (strcmp(req->target, "/show") == 0) {
        respond_json(req, 200, report_of(machine));
        return;
    }
    json_t *body = json_loadb(req->body, req->len, 0, NULL);
    const json_t *warrant = json_object_get(body, "warrant");
    const json_t *stint = json_object_get(body, "stint");
    int status = 200;
    if (!json_is_integer(warrant) || !json_is_integer(stint)) {
        status = 400;
    } else if ((uint64_t)json_integer_value(warrant) < machine->warrant ||
               (uint64_t)json_integer_value(stint) != machine->stint) {
        status = 409;
    } else {
        machine->has_changed |= (uint64_t)json_integer_value(warrant) > machine->warrant;
        machine->warrant = (uint64_t)json_integer_value(warrant);
        execute(machine, json_object_get(body, "signals"));
    }
    json_decref(body);
    respond_json(req, status, status == 400 ? json_object() : report_of(machine));
}

struct machine *machine_of_task(const char *job, unsigned index) {
    for (size_t i = 0; i < stage.n_machines; i++)
        for (size_t k = 0; stage.machines[i].exists && k < stage.machines[i].n_tasks; k++) {
            const struct task *task = &stage.machines[i].tasks[k];
            if (task->state == RUNNING && task->index == index && strcmp(task->job, job) == 0)
                return &stage.machines[i];
        }
    return NULL;
}

unsigned n_tasks_in(const char *job, enum task_state state) {
    unsigned n = 0;
    for (size_t i = 0; i < stage.n_machines; i++)
        for (size_t k = 0; stage.machines[i].exists && k < stage.machines[i].n_tasks; k++)
            n += stage.machines[i].tasks[k].state == state &&
                 strcmp(stage.machines[i].tasks[k].job, job) == 0;
    return n;
}

void machines_step(void) {
    for (size_t i = 0; i < stage.n_machines; i++) {
        struct machine *machine = &stage.machines[i];
        if (!is_alive(machine))
            continue;
        if (machine->session_began_at == 0) {
            machine->session_began_at = machine->next_report_at = now_s();
            note("machine %s is up: %s in %s", machine->name, machine->type, machine->zone);
        }
        worker_step(machine);
    }
}

/* ---- the cloud ---- */

static void on_catalog(struct rp_request *req) {
    json_t *frames = json_array();
    for (size_t i = 0; i < N_TYPES; i++) {
        const struct type *type = &types[i];
        json_array_append_new(frames,
                              json_pack("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:[sss]}", "name",
                                        type->name, "vcpus", type->cpus, "cards", type->gpus,
                                        "memory_gb", type->memory_gb, "cache_gb", 60.0,
                                        "fetch_gb_per_s", type->fetch_gb_per_s, "price",
                                        type->price, "market_price", type->spot_price, "boot_s",
                                        type->boot_s, "yards", zones[0], zones[1], zones[2]));
    }
    respond_json(req, 200, json_pack("{s:o}", "frames", frames));
}

static void on_rent(struct rp_request *req) {
    json_t *body = json_loadb(req->body, req->len, 0, NULL);
    const char *hire = json_string_value(json_object_get(body, "hire"));
    const struct type *type = find_type(json_string_value(json_object_get(body, "frame")));
    const char *zone = find_zone(json_string_value(json_object_get(body, "yard")));
    json_int_t n = json_integer_value(json_object_get(body, "count"));
    json_t *names = json_array();
    for (size_t i = 0; i < stage.n_machines; i++)
        if (strcmp(stage.machines[i].hire, hire) == 0)
            json_array_append_new(names, json_string(stage.machines[i].name));
    bool is_repeated = json_array_size(names) > 0;
    for (json_int_t i = 0; !is_repeated && type && zone && i < n; i++) {
        if (stage.n_machines == MACHINES_MAX)
            break;
        struct machine *machine = &stage.machines[stage.n_machines++];
        *machine = (struct machine){.exists = true, .type = type->name, .zone = zone, .stint = 1};
        machine->spot = json_is_true(json_object_get(body, "loaners"));
        machine->requested_at = now_s();
        machine->up_at = machine->requested_at + BOOT_S;
        snprintf(machine->name, sizeof machine->name, "vm-%06zu", stage.n_machines);
        snprintf(machine->hire, sizeof machine->hire, "%s", hire);
        machine->has_server =
            open_server(&machine->server, machine->address, on_direct_request, machine);
        json_array_append_new(names, json_string(machine->name));
        note("machine %s rented: %s in %s, request %s", machine->name, type->name, zone, hire);
    }
    if (json_array_size(names) > 0) {
        respond_json(req, 200, json_pack("{s:o}", "sheaves", names));
    } else {
        json_decref(names);
        respond_json(req, 503, json_pack("{s:s}", "error", "no capacity"));
    }
    json_decref(body);
}

static void on_release(struct rp_request *req) {
    json_t *body = json_loadb(req->body, req->len, 0, NULL);
    json_t *name;
    size_t i;
    json_array_foreach(json_object_get(body, "sheaves"), i, name) {
        for (size_t k = 0; k < stage.n_machines; k++) {
            struct machine *machine = &stage.machines[k];
            if (!machine->exists || strcmp(machine->name, json_string_value(name)) != 0)
                continue;
            machine->exists = false;
            machine->gone_at = now_s();
            if (machine->has_server)
                rp_http_server_close(&machine->server);
            machine->has_server = false;
            note("machine %s deleted", machine->name);
        }
    }
    json_decref(body);
    respond_json(req, 200, json_object());
}

static void on_machine_list(struct rp_request *req) {
    const char *from = strstr(req->target, "from=");
    json_t *list = json_array();
    double t = now_s();
    for (size_t i = 0; i < stage.n_machines; i++) {
        const struct machine *machine = &stage.machines[i];
        bool is_listed = t >= machine->requested_at + LIST_LAG_S &&
                         (machine->exists || t < machine->gone_at + LIST_LAG_S);
        if (!is_listed ||
            (from && strncmp(machine->name, from + strlen("from="), strlen(machine->name)) <= 0))
            continue;
        const char *state = t < machine->up_at + LIST_LAG_S ? "booting" : "running";
        if (machine->has_stopped && t > machine->stopped_at + 30)
            state = "failed";
        json_array_append_new(list,
                              json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "ref", machine->name,
                                        "address", machine->address, "frame", machine->type, "yard",
                                        machine->zone, "loaners", machine->spot, "tension", state,
                                        "age_s", t - LIST_LAG_S - machine->requested_at));
    }
    respond_json(req, 200, json_pack("{s:o,s:b}", "sheaves", list, "has_next", 0));
}

void cloud_request(void *arg, struct rp_request *req) {
    (void)arg;
    if (stage.is_cloud_out)
        respond_json(req, 503, json_pack("{s:s}", "error", "trouble"));
    else if (strcmp(req->target, "/catalog") == 0)
        on_catalog(req);
    else if (strcmp(req->target, "/machines/release") == 0)
        on_release(req);
    else if (strcmp(req->method, "POST") == 0)
        on_rent(req);
    else
        on_machine_list(req);
}
