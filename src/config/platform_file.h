/** @file
 * Parser of the platform's JSON file, which gives a node's addresses, the other nodes, the teams,
 * the zones, and the limits of the cloud and the key-value store. Called by main.c. */
#ifndef RP_CONFIG_PLATFORM_FILE_H
#define RP_CONFIG_PLATFORM_FILE_H

#include <stdio.h>
#include "config/settings.h"

/** Clears the settings, sets the operators' settings to their defaults, and reads all others from
 * `text`. Fields that are unknown to this version are ignored. Returns the number of errors, each
 * of which is written to `error_output` as a line that begins with the name `file`. The caller must
 * call rp_settings_free in any case. */
int rp_platform_file_parse(struct rp_settings *settings, const char *text, const char *file,
                           FILE *error_output);

#endif
