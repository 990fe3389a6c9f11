#include "config/tuning.h"

#include <stdint.h>
#include "base/memory.h"
#include "base/string_copy.h"
#include "config/text_format.h"
#include "model/heuristic.h"
#include "operator.pb-c.h"

/* Minimum silence in seconds after which a standby may take over. A leader that pauses for two
 * seconds, and whose response is then still in transit, must not lose its term. */
#define SUSPECT_AFTER_MIN_S 2.5

enum field_kind {
    FIELD_AMOUNT, /* a double */
    FIELD_COUNT,  /* an unsigned int */
    FIELD_FLAG    /* a bool; its range is from false to true */
};

/* A field of the operators' file. text_format.c checks that a value is of the field's type. */
struct field {
    const char *name;
    enum field_kind kind;
    size_t presence_offset; /* offset of the message's flag for whether the file has the field */
    size_t source_offset;   /* offset of the value in the protobuf message */
    size_t target_offset;   /* offset of the member in struct rp_tuning */
    double default_value;
    double min, max; /* inclusive bounds of the value */
};

#define FIELD(member, kind_, default_, min_, max_)                                                 \
    {                                                                                              \
        .name = #member, .kind = (kind_),                                                          \
        .presence_offset = offsetof(Ridgepulley__OperatorSettings, has_##member),                  \
        .source_offset = offsetof(Ridgepulley__OperatorSettings, member),                          \
        .target_offset = offsetof(struct rp_tuning, member), .default_value = (default_),          \
        .min = (min_), .max = (max_)                                                               \
    }
#define AMOUNT(member, default_, min_, max_) FIELD(member, FIELD_AMOUNT, default_, min_, max_)
#define COUNT(member, default_, min_, max_) FIELD(member, FIELD_COUNT, default_, min_, max_)
#define FLAG(member, default_) FIELD(member, FIELD_FLAG, default_, false, true)

/* All fields except the list of heuristics. Errors are reported in this order. */
static const struct field fields[] = {
    AMOUNT(round_period_s, 10, 0.5, 60),
    AMOUNT(billing_unit_s, 20, 1, 86400),
    AMOUNT(return_margin_s, 10, 0, 3600),
    AMOUNT(leader_ttl_s, 0, 1, 600), /* 0 means unset: rp_settings_complete computes it */
    AMOUNT(leader_check_s, 0.5, 0.1, 10),
    AMOUNT(boot_patience, 3.5, 1, 100),
    AMOUNT(refused_pause_s, 15, 0, 3600),
    AMOUNT(leader_write_share, 0.6, 0.1, 0.9),
    COUNT(faulty_after, 2, 1, 1000),
    FLAG(preemption, true),
    FLAG(keep_old_forms, false),
    AMOUNT(service_reserve, 1, 0, 100),
    FLAG(standby, false),
    AMOUNT(suspect_after_s, 2.75, SUSPECT_AFTER_MIN_S, 60),
};
static const size_t n_fields = sizeof fields / sizeof fields[0];

static const char *const default_heuristics[] = {"ESW-CP", "ESW-SM", "ESW-BF"};
static const size_t n_default_heuristics = sizeof default_heuristics / sizeof default_heuristics[0];

static void add_heuristic(struct rp_tuning *tuning, const char *name) {
    rp_string_copy(tuning->heuristics[tuning->n_heuristics++], RP_HEURISTIC_NAME_MAX, name);
}

static void set_field(const struct field *field, struct rp_tuning *tuning, double value) {
    void *target = (char *)tuning + field->target_offset;
    switch (field->kind) {
    case FIELD_AMOUNT:
        *(double *)target = value;
        break;
    case FIELD_COUNT:
        *(unsigned *)target = (unsigned)value;
        break;
    case FIELD_FLAG:
        *(bool *)target = value != 0;
        break;
    }
}

static bool is_present(const struct field *field, const Ridgepulley__OperatorSettings *message) {
    const void *presence = (const char *)message + field->presence_offset;
    return *(const protobuf_c_boolean *)presence != 0;
}

static double value_in_message(const struct field *field,
                               const Ridgepulley__OperatorSettings *message) {
    const void *source = (const char *)message + field->source_offset;
    switch (field->kind) {
    case FIELD_COUNT:
        return *(const uint32_t *)source;
    case FIELD_FLAG:
        return *(const protobuf_c_boolean *)source != 0;
    case FIELD_AMOUNT:
        break;
    }
    return *(const double *)source;
}

void rp_tuning_defaults(struct rp_tuning *tuning) {
    *tuning = (struct rp_tuning){0};
    for (size_t i = 0; i < n_fields; i++)
        set_field(&fields[i], tuning, fields[i].default_value);
    for (size_t i = 0; i < n_default_heuristics; i++)
        add_heuristic(tuning, default_heuristics[i]);
}

/* Replaces the default heuristics by those of the message, if there are any. Returns the number of
 * errors. */
static int apply_heuristics(struct rp_tuning *tuning, const Ridgepulley__OperatorSettings *message,
                            const char *file, FILE *error_output) {
    int n_errors = 0;
    if (message->n_heuristic == 0)
        return 0;
    if (message->n_heuristic > RP_HEURISTICS_MAX) {
        fprintf(error_output,
                "%s: heuristic: at most %d heuristics are allowed, but %zu are given\n", file,
                RP_HEURISTICS_MAX, message->n_heuristic);
        return 1;
    }
    tuning->n_heuristics = 0;
    for (size_t i = 0; i < message->n_heuristic; i++) {
        const char *name = message->heuristic[i];
        struct rp_heuristic heuristic;
        if (rp_heuristic_from_name(name, &heuristic)) {
            add_heuristic(tuning, name);
        } else {
            fprintf(error_output, "%s: heuristic: '%s' is not a known heuristic\n", file, name);
            n_errors++;
        }
    }
    return n_errors;
}

/* Sets the members of `tuning` whose fields are present in the message. Returns the number of
 * errors. */
static int apply_fields(struct rp_tuning *tuning, const Ridgepulley__OperatorSettings *message,
                        const char *file, FILE *error_output) {
    int n_errors = 0;
    for (size_t i = 0; i < n_fields; i++) {
        const struct field *field = &fields[i];
        if (!is_present(field, message))
            continue;
        double value = value_in_message(field, message);
        set_field(field, tuning, value);
        if (value >= field->min && value <= field->max)
            continue;
        fprintf(error_output, "%s: %s: must be between %g and %g, but is %g\n", file, field->name,
                field->min, field->max, value);
        n_errors++;
    }
    return n_errors;
}

int rp_tuning_parse(struct rp_tuning *tuning, const char *text, const char *file,
                    FILE *error_output) {
    Ridgepulley__OperatorSettings *message = rp_alloc(1, sizeof *message);
    struct rp_text_format_error error;
    int n_errors = 0;
    ridgepulley__operator_settings__init(message);
    if (rp_text_format_read(text, &message->base, &error)) {
        n_errors += apply_heuristics(tuning, message, file, error_output);
        n_errors += apply_fields(tuning, message, file, error_output);
    } else {
        fprintf(error_output, "%s:%d:%d: %s\n", file, error.line, error.column, error.text);
        n_errors++;
    }
    protobuf_c_message_free_unpacked(&message->base, NULL);
    return n_errors;
}
