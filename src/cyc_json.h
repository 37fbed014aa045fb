/**
 * @file
 * Parsing of one JSON value with comments, shared by the configuration items
 * and the settings. Text after the value is a defect, because a file that was
 * cut and pasted together must not pass as its first half.
 *
 * @code
 * struct json_object *root = cyc_json_parse (text, place, &found);
 * if (root != NULL)
 *   use (root);
 * json_object_put (root);
 * @endcode
 *
 * Errors: every defect is a finding at "PLACE: $"; the result may still be an
 * object when the defect is text after it.
 */
#ifndef CYC_JSON_H
#define CYC_JSON_H

#include <cyclamendrum/base.h>
#include <json-c/json.h>

struct json_object *cyc_json_parse (struct cyc_str body, struct cyc_str place,
                                    struct cyc_findings *findings);

#endif
