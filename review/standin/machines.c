/* The cloud and the workers of PROTOCOL, "Workers -> controller nodes", "Controller nodes ->
 * workers" and "Controller nodes -> cloud". */
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "platform.h"

#define REPORT_S 2.0
#define LEASE_S 14.0
#define ANSWER_TIMEOUT_S 4.0
#define RETRY_S 1.0
#define CHANGE_S 0.5
#define LIST_LAG_S 3.0
#define CLOUD_RPS 5.0

static void respond(struct rp_request *req, int status, json_t *body) {
    char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
    req->respond(req, status, text ? text : "{}", 0);
    free(text);
    json_decref(body);
}

static double uniform(void) {
    return (double)rand() / ((double)RAND_MAX + 1);
}

/* ---- tasks ---- */

static struct job *job_of(const struct machine *machine, const struct task *task) {
    return task->job >= 0 ? &machine->platform->jobs[task->job] : NULL;
}

static const struct frame *frame_of(const struct machine *machine) {
    return &machine->platform->options.frames[machine->frame];
}

bool platform_has_room(const struct platform *platform, const struct machine *machine,
                       const struct job *job) {
    const struct frame *frame = frame_of(machine);
    double vcpus = frame->vcpus - job->vcpus;
    double cards = frame->cards - job->cards;
    double memory_gb = frame->memory_gb - job->memory_gb;
    for (size_t i = 0; i < machine->n_tasks; i++) {
        const struct task *task = &machine->tasks[i];
        const struct job *other = task->job >= 0 ? &platform->jobs[task->job] : NULL;
        if (!other || task->state == EXITED)
            continue;
        vcpus -= other->vcpus;
        cards -= other->cards;
        memory_gb -= other->memory_gb;
    }
    return vcpus > -1e-6 && cards > -1e-6 && memory_gb > -1e-6;
}

bool platform_has_room_for(const struct platform *platform, const struct job *job) {
    for (int i = 0; i < platform->n_machines; i++) {
        const struct machine *machine = &platform->machines[i];
        if (machine->is_up && !machine->is_gone && platform_has_room(platform, machine, job))
            return true;
    }
    return false;
}

static void task_exit(struct machine *machine, struct task *task, const char *why) {
    struct job *job = job_of(machine, task);
    if (job && (task->state == RUNNING || task->state == FLUSHING))
        job->n_running--;
    task->state = EXITED;
    task->why = why;
    machine->has_changed = true;
}

/* When the machine has the job's image; the fetch begins now if it has not begun. */
static double image_ready_at(struct machine *machine, const struct job *job, double now) {
    const char *image = json_string_value(json_object_get(job->spec, "payload"));
    for (size_t i = 0; i < machine->n_images; i++)
        if (strcmp(machine->images[i], image) == 0)
            return machine->image_ready_at[i];
    size_t n = ++machine->n_images;
    machine->images = realloc(machine->images, n * sizeof *machine->images);
    machine->image_ready_at = realloc(machine->image_ready_at, n * sizeof(double));
    snprintf(machine->images[n - 1], NAME_BYTES, "%s", image);
    machine->image_ready_at[n - 1] = now + job->image_gb / frame_of(machine)->fetch_gb_per_s;
    return machine->image_ready_at[n - 1];
}

static struct task *add_task(struct machine *machine, const char *lift, uint64_t pull) {
    if (machine->n_tasks == machine->cap_tasks) {
        machine->cap_tasks = machine->cap_tasks ? machine->cap_tasks * 2 : 64;
        machine->tasks = realloc(machine->tasks, machine->cap_tasks * sizeof *machine->tasks);
    }
    struct task *task = &machine->tasks[machine->n_tasks++];
    *task = (struct task){.job = -1, .pull = pull, .state = EXITED};
    snprintf(task->lift, sizeof task->lift, "%s", lift);
    machine->has_changed = true;
    return task;
}

static int find_job(const struct platform *platform, const char *lift, uint32_t *index) {
    const char *slash = strchr(lift, '/');
    for (int i = 0; slash && i < platform->n_jobs; i++) {
        const struct job *job = &platform->jobs[i];
        if (strlen(job->ref) == (size_t)(slash - lift) &&
            strncmp(job->ref, lift, (size_t)(slash - lift)) == 0 && job->submitted) {
            *index = (uint32_t)strtoul(slash + 1, NULL, 10);
            return *index < job->lifts ? i : -1;
        }
    }
    return -1;
}

static void run_command(struct machine *machine, const char *lift, uint64_t pull, double now) {
    struct platform *platform = machine->platform;
    bool is_in_use = false;
    uint32_t index = 0;
    for (size_t i = 0; i < machine->n_tasks; i++) {
        const struct task *task = &machine->tasks[i];
        if (strcmp(task->lift, lift) != 0)
            continue;
        if (task->pull == pull)
            return;
        is_in_use |= task->state != EXITED;
    }
    int number = find_job(platform, lift, &index);
    struct task *task = add_task(machine, lift, pull);
    if (number < 0) {
        task->why = "no_such";
        return;
    }
    struct job *job = &platform->jobs[number];
    job->n_received++;
    if (is_in_use) {
        task->why = "in_use";
    } else if (!platform_has_room(platform, machine, job)) {
        task->why = "no_room";
    } else {
        task->job = number;
        task->index = index;
        task->state = FETCHING;
        task->ready_at = image_ready_at(machine, job, now);
    }
}

static void halt_command(struct machine *machine, struct task *task, double ease_s, double now) {
    const struct job *job = job_of(machine, task);
    if (task->state == EXITED)
        return;
    bool can_save = task->state == RUNNING && job->brace_every_s > 0 && ease_s >= job->brace_s;
    if (can_save) {
        task->state = FLUSHING;
        task->ends_at = now + job->brace_s;
        machine->has_changed = true;
    } else if (task->state != FLUSHING || ease_s <= 0) {
        task_exit(machine, task, "halted");
    }
}

/* `pull` is a count below 2^64. A command in which it is anything else is malformed, and a sound
 * worker does not execute it. */
static bool read_count(const json_t *value, uint64_t *out) {
    *out = (uint64_t)json_integer_value(value);
    return json_is_integer(value) && json_integer_value(value) >= 0;
}

static void execute(struct machine *machine, json_t *signals, double now) {
    json_t *command;
    size_t k;
    json_array_foreach(signals, k, command) {
        const char *signal = json_string_value(json_object_get(command, "signal"));
        const char *lift = json_string_value(json_object_get(command, "lift"));
        json_t *pull_value = json_object_get(command, "pull");
        uint64_t pull;
        if (!signal || !lift || !read_count(pull_value, &pull)) {
            char *text = json_dumps(command, JSON_COMPACT);
            if (machine->platform->n_bad_pulls++ < 20)
                platform_note(machine->platform, "%s: malformed command, not executed: %s",
                              machine->name, text);
            free(text);
            continue;
        }
        if (strcmp(signal, "run") == 0) {
            run_command(machine, lift, pull, now);
            continue;
        }
        for (size_t i = 0; i < machine->n_tasks; i++) {
            struct task *task = &machine->tasks[i];
            if (strcmp(task->lift, lift) != 0 || task->pull != pull)
                continue;
            if (strcmp(signal, "halt") == 0)
                halt_command(machine, task, json_number_value(json_object_get(command, "ease_s")),
                             now);
            else if (task->state == EXITED)
                *task = machine->tasks[--machine->n_tasks];
            break;
        }
    }
}

static void step_task(struct machine *machine, struct task *task, double now) {
    struct job *job = job_of(machine, task);
    if (task->state == FETCHING && now >= task->ready_at) {
        task->state = RUNNING;
        machine->has_changed = true;
        job->n_running++;
        job->n_starts++;
        if (job->first_start_at == 0)
            job->first_start_at = now;
        task->ends_at = job->is_result_kept[task->index] ? now
                        : job->is_service                ? INFINITY
                                                         : now + job->run_s;
        if (job->n_starts <= 10 || job->n_starts % 500 == 0)
            platform_note(machine->platform, "%s: %s runs (start %lu of its job)", machine->name,
                          task->lift, job->n_starts);
    } else if (task->state == RUNNING && now >= task->ends_at) {
        if (!job->fails && !job->is_result_kept[task->index]) {
            job->is_result_kept[task->index] = true;
            job->n_completed++;
        }
        task_exit(machine, task, job->fails ? "error" : "done");
        if (job->lifts <= 10 || job->n_completed % 500 == 0)
            platform_note(machine->platform, "%s: %s exits, %s", machine->name, task->lift,
                          task->why);
    } else if (task->state == FLUSHING && now >= task->ends_at) {
        task->stored = true;
        task_exit(machine, task, "halted");
    }
}

/* ---- reports ---- */

static json_t *report(struct machine *machine) {
    static const char *const names[] = {"fetching", "running", "flushing", "exited"};
    const struct platform *platform = machine->platform;
    json_t *lifts = json_array();
    for (size_t i = 0; i < machine->n_tasks; i++) {
        const struct task *task = &machine->tasks[i];
        json_t *entry = json_pack("{s:s,s:I,s:s}", "lift", task->lift, "pull",
                                  (json_int_t)task->pull, "tension", names[task->state]);
        if (task->state == EXITED)
            json_object_set_new(entry, "slack_reason", json_string(task->why));
        if (task->stored)
            json_object_set_new(entry, "stored", json_true());
        json_array_append_new(lifts, entry);
    }
    machine->tick++;
    return json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:n,s:o}", "sheave", machine->name,
                     "address", machine->address, "frame", frame_of(machine)->name, "yard",
                     platform->options.zones[machine->zone], "loaners", machine->spot, "stint",
                     (json_int_t)machine->stint, "tick", (json_int_t)machine->tick, "warrant",
                     (json_int_t)machine->warrant, "recall_s", "lifts", lifts);
}

/* A report that is under way. */
struct sent_report {
    struct machine *machine;
    uint64_t stint, tick;
    double sent_at;
};

static void try_next_node(struct machine *machine, double now) {
    machine->node = (machine->node + 1) % N_NODES;
    machine->next_report_at = now + RETRY_S;
}

static int named_node(const json_t *body) {
    const char *name = json_string_value(json_object_get(body, "foreman"));
    return name && strncmp(name, "sheave-", 7) == 0 ? atoi(name + 7) : -1;
}

static void on_answer(void *arg, const struct rp_response *answer) {
    struct sent_report sent = *(struct sent_report *)arg;
    struct machine *machine = sent.machine;
    struct platform *platform = machine->platform;
    double now = platform_now(platform);
    free(arg);
    if (machine->is_gone)
        return;
    machine->in_flight = false;
    json_t *body = json_loadb(answer->body, answer->len, 0, NULL);
    if (answer->status == 200) {
        json_t *token = json_object_get(body, "warrant");
        uint64_t warrant;
        machine->next_report_at = sent.sent_at + REPORT_S * (0.75 + 0.5 * uniform());
        if (read_count(token, &warrant) && warrant >= machine->warrant &&
            sent.stint == machine->stint) {
            machine->has_changed |= warrant > machine->warrant;
            machine->warrant = warrant;
            machine->renewed_at = sent.sent_at;
            execute(machine, json_object_get(body, "signals"), now);
        }
    } else if (answer->status == 421 && named_node(body) >= 0 &&
               named_node(body) != machine->node) {
        machine->node = named_node(body);
        machine->next_report_at = now + 0.2;
    } else {
        if (answer->status != 421) {
            bool is_refused = answer->status == 400 || answer->status == 413;
            machine->n_refused_reports += is_refused;
            platform_note(platform, "%s: report %" PRIu64 "/%" PRIu64 " to sheave-%d got %d %.60s",
                          machine->name, sent.stint, sent.tick, machine->node, answer->status,
                          answer->body);
        }
        try_next_node(machine, now);
    }
    json_decref(body);
}

static void send_report(struct machine *machine, double now) {
    struct platform *platform = machine->platform;
    struct rp_net net = rp_http_client_net(&platform->client);
    struct sent_report *sent = calloc(1, sizeof *sent);
    json_t *body = report(machine);
    char *text = json_dumps(body, JSON_COMPACT);
    *sent = (struct sent_report){machine, machine->stint, machine->tick, now};
    machine->in_flight = true;
    machine->has_changed = false;
    machine->sent_at = now;
    if (strlen(text) > machine->largest_report)
        machine->largest_report = strlen(text);
    net.call(net.ctx, platform->node_addr[machine->node], "POST", "/checkin", text,
             ANSWER_TIMEOUT_S, on_answer, sent);
    free(text);
    json_decref(body);
}

static void on_direct_request(void *arg, struct rp_request *req) {
    struct machine *machine = arg;
    double now = platform_now(machine->platform);
    json_t *body = req->len ? json_loadb(req->body, req->len, 0, NULL) : NULL;
    int status = 200;
    if (!machine->is_up || machine->is_gone) {
        respond(req, 503, NULL);
    } else if (strcmp(req->target, "/do") == 0) {
        uint64_t warrant;
        uint64_t stint;
        if (!read_count(json_object_get(body, "warrant"), &warrant) ||
            !read_count(json_object_get(body, "stint"), &stint)) {
            respond(req, 400, NULL);
        } else {
            if (warrant < machine->warrant || stint != machine->stint) {
                status = 409;
            } else {
                machine->has_changed |= warrant > machine->warrant;
                machine->warrant = warrant;
                execute(machine, json_object_get(body, "signals"), now);
            }
            respond(req, status, report(machine));
        }
    } else {
        respond(req, 200, report(machine));
    }
    json_decref(body);
}

static void end_session(struct machine *machine, double now) {
    size_t n_killed = 0;
    for (size_t i = 0; i < machine->n_tasks; i++) {
        struct job *job = job_of(machine, &machine->tasks[i]);
        if (!job || machine->tasks[i].state == EXITED)
            continue;
        n_killed++;
        job->n_killed += machine->tasks[i].state == RUNNING;
        job->n_running -= machine->tasks[i].state != FETCHING;
    }
    machine->n_tasks = 0;
    machine->n_killed += n_killed;
    machine->n_lease_ends++;
    machine->stint++;
    machine->renewed_at = now;
    machine->has_changed = true;
    platform_note(machine->platform, "%s: lease ended, %zu tasks killed, session %" PRIu64,
                  machine->name, n_killed, machine->stint);
}

static void step_machine(struct machine *machine, double now) {
    struct platform *platform = machine->platform;
    if (machine->is_gone)
        return;
    if (!machine->is_up) {
        if (now < machine->rented_at + platform->options.boot_s)
            return;
        machine->is_up = true;
        machine->stint = 1;
        machine->renewed_at = machine->next_report_at = now;
        machine->node = machine->name[strlen(machine->name) - 1] % N_NODES;
        platform_note(platform, "%s: up", machine->name);
    }
    for (size_t i = 0; i < machine->n_tasks; i++)
        step_task(machine, &machine->tasks[i], now);
    if (now - machine->renewed_at > LEASE_S)
        end_session(machine, now);
    bool is_due = now >= machine->next_report_at ||
                  (machine->has_changed && now >= machine->sent_at + CHANGE_S &&
                   machine->next_report_at <= machine->sent_at + REPORT_S * 1.25);
    if (!machine->in_flight && is_due)
        send_report(machine, now);
}

void machines_step(struct platform *platform, double now) {
    for (int i = 0; i < platform->n_machines; i++)
        step_machine(&platform->machines[i], now);
}

/* ---- the cloud ---- */

static json_t *catalog(const struct platform *platform) {
    json_t *frames = json_array();
    for (int i = 0; i < platform->options.n_frames; i++) {
        const struct frame *frame = &platform->options.frames[i];
        json_t *yards = json_array();
        for (int z = 0; z < platform->options.n_zones; z++)
            json_array_append_new(yards, json_string(platform->options.zones[z]));
        json_array_append_new(
            frames, json_pack("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", "name", frame->name,
                              "vcpus", frame->vcpus, "cards", frame->cards, "memory_gb",
                              frame->memory_gb, "cache_gb", 50.0, "fetch_gb_per_s",
                              frame->fetch_gb_per_s, "price", frame->price, "market_price",
                              frame->market_price, "boot_s", frame->boot_s, "yards", yards));
    }
    return json_pack("{s:o}", "frames", frames);
}

static int find_name(const char *name, const char *const *names, int n) {
    for (int i = 0; i < n; i++)
        if (name && strcmp(names[i], name) == 0)
            return i;
    return -1;
}

static int find_frame(const struct platform *platform, const char *name) {
    for (int i = 0; i < platform->options.n_frames; i++)
        if (name && strcmp(platform->options.frames[i].name, name) == 0)
            return i;
    return -1;
}

static int n_left(const struct platform *platform, int frame, int zone) {
    int n = platform->options.frames[frame].capacity[zone];
    for (int i = 0; i < platform->n_machines; i++) {
        const struct machine *machine = &platform->machines[i];
        n -= !machine->is_gone && machine->frame == frame && machine->zone == zone;
    }
    return n;
}

static void rent_one(struct platform *platform, int frame, int zone, bool spot, json_t *names) {
    static const struct rp_http_limits limits = {.max_connections = 64,
                                                 .max_body_bytes = 1 << 20,
                                                 .idle_timeout_s = 300,
                                                 .receive_timeout_s = 10,
                                                 .send_timeout_s = 10};
    if (platform->n_machines == MACHINES_MAX)
        platform_finish(platform, 2, "too many machines");
    struct machine *machine = &platform->machines[platform->n_machines];
    *machine = (struct machine){.platform = platform,
                                .frame = frame,
                                .zone = zone,
                                .spot = spot,
                                .rented_at = platform_now(platform)};
    snprintf(machine->name, sizeof machine->name, "vm-%06d", 231 + platform->n_machines);
    platform->n_machines++;

    for (int tries = 0; tries < 20 && !machine->is_listening; tries++) {
        snprintf(machine->address, sizeof machine->address, "127.0.0.1:%d", free_port());
        machine->is_listening =
            rp_http_server_open(&machine->server, &platform->loop, machine->address, &limits,
                                on_direct_request, machine) == 0;
    }
    json_array_append_new(names, json_string(machine->name));
}

static void rent(struct platform *platform, struct rp_request *req) {
    json_t *body = json_loadb(req->body, req->len, 0, NULL);
    const char *hire = json_string_value(json_object_get(body, "hire"));
    const char *yard = json_string_value(json_object_get(body, "yard"));
    int frame = find_frame(platform, json_string_value(json_object_get(body, "frame")));
    int zone = find_name(yard, platform->options.zones, platform->options.n_zones);
    bool spot = json_is_true(json_object_get(body, "loaners"));
    int count = (int)json_integer_value(json_object_get(body, "count"));
    json_t *known = hire ? json_object_get(platform->hires, hire) : NULL;
    if (!hire || frame < 0 || zone < 0 || count < 1 || count > 50) {
        respond(req, 400, NULL);
    } else if (known) {
        respond(req, 200, json_incref(known));
    } else if (n_left(platform, frame, zone) <= 0) {
        platform->n_refused_hires++;
        respond(req, 503, json_pack("{s:s}", "error", "no capacity"));
    } else {
        json_t *names = json_array();
        platform->n_hires++;
        for (int i = 0; i < count && n_left(platform, frame, zone) > 0; i++)
            rent_one(platform, frame, zone, spot, names);
        json_t *answer = json_pack("{s:o}", "sheaves", names);
        json_object_set(platform->hires, hire, answer);
        char *text = json_dumps(names, JSON_COMPACT);
        platform_note(platform, "cloud: %s rents %s in %s: %s", hire,
                      platform->options.frames[frame].name, yard, text);
        free(text);
        respond(req, 200, answer);
    }
    json_decref(body);
}

static void release(struct platform *platform, struct rp_request *req) {
    json_t *body = json_loadb(req->body, req->len, 0, NULL);
    json_t *names = json_object_get(body, "sheaves");
    json_t *name;
    size_t k;
    json_array_foreach(names, k, name) {
        for (int i = 0; i < platform->n_machines; i++) {
            struct machine *machine = &platform->machines[i];
            if (machine->is_gone || strcmp(machine->name, json_string_value(name)) != 0)
                continue;
            machine->is_gone = true;
            machine->gone_at = platform_now(platform);
            for (size_t t = 0; t < machine->n_tasks; t++)
                if (job_of(machine, &machine->tasks[t]) && machine->tasks[t].state != FETCHING &&
                    machine->tasks[t].state != EXITED)
                    job_of(machine, &machine->tasks[t])->n_running--;
            if (machine->is_listening)
                rp_http_server_close(&machine->server);
            platform_note(platform, "cloud: %s released, %zu tasks listed", machine->name,
                          machine->n_tasks);
            machine->n_tasks = 0;
        }
    }
    respond(req, 200, json_object());
    json_decref(body);
}

static void list_machines(struct platform *platform, struct rp_request *req) {
    const char *from = strstr(req->target, "from=");
    size_t from_len = from ? strcspn(from + 5, "&") : 0;
    double then = platform_now(platform) - LIST_LAG_S;
    json_t *list = json_array();
    for (int i = 0; i < platform->n_machines; i++) {
        const struct machine *machine = &platform->machines[i];
        bool is_after = !from || strncmp(machine->name, from + 5, from_len) > 0;
        if (!is_after || machine->rented_at > then ||
            (machine->is_gone && machine->gone_at <= then))
            continue;
        bool was_up = machine->rented_at + platform->options.boot_s <= then;
        json_array_append_new(
            list,
            json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", "ref", machine->name, "address",
                      machine->address, "frame", frame_of(machine)->name, "yard",
                      platform->options.zones[machine->zone], "loaners", machine->spot, "tension",
                      was_up ? "running" : "booting", "age_s", then - machine->rented_at));
    }
    respond(req, 200, json_pack("{s:o,s:b}", "sheaves", list, "has_next", 0));
}

void cloud_on_request(void *arg, struct rp_request *req) {
    struct platform *platform = arg;
    double now = platform_now(platform);
    platform->cloud_tokens += (now - platform->cloud_tokens_at) * CLOUD_RPS;
    platform->cloud_tokens_at = now;
    if (platform->cloud_tokens > 2 * CLOUD_RPS)
        platform->cloud_tokens = 2 * CLOUD_RPS;
    if (platform->cloud_tokens < 1) {
        respond(req, 429, NULL);
        return;
    }
    platform->cloud_tokens--;
    if (strcmp(req->target, "/catalog") == 0)
        respond(req, 200, catalog(platform));
    else if (strcmp(req->target, "/machines/release") == 0)
        release(platform, req);
    else if (strcmp(req->method, "POST") == 0)
        rent(platform, req);
    else
        list_machines(platform, req);
}
