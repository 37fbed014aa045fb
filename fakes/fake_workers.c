/**
 * @file
 * Main program of the fake workers; see fk_workers.h. `--file` adds the
 * workers of a JSON file, `--vms` writes their VM list to a file.
 */
#include "fk_workers.h"

#include <stdio.h>

static bool
load_workers (struct fk_workers *fleet, const struct fk_program *program)
{
  struct json_object *json;
  bool done;

  if (program->file != NULL)
    {
      json = json_object_from_file (program->file);
      done = json != NULL && fk_workers_add (fleet, json);
      json_object_put (json);
      if (!done)
        return false;
    }
  if (program->vms_file == NULL)
    return true;
  json = fk_workers_vms (fleet);
  done = json_object_to_file (program->vms_file, json) == 0;
  json_object_put (json);
  return done;
}

int
main (int argc, char **argv)
{
  static struct fk_workers fleet;
  struct fk_program program = { 0 };
  struct cyc_findings findings = { 0 };

  if (!fk_program_start (&program, argc, argv))
    return 2;
  if (!fk_workers_setup (&fleet, program.loop, program.port,
                         program.service_ms, &findings))
    {
      fprintf (stderr, "fake-workers: %s\n", findings.rows[0].text);
      return 1;
    }
  if (!load_workers (&fleet, &program))
    {
      fprintf (
          stderr,
          "fake-workers: cannot add the workers of --file or write --vms\n");
      return 2;
    }
  fk_program_run (&program, fk_port (&fleet.hs));
  fk_workers_shutdown (&fleet);
  return 0;
}
