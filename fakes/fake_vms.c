/**
 * @file
 * Main program of the fake VM list; see fk_vms.h. `--file` loads the initial
 * list.
 */
#include "fk_vms.h"

#include <stdio.h>

int
main (int argc, char **argv)
{
  static struct fk_vms vms;
  struct fk_program program = { 0 };
  struct cyc_findings findings = { 0 };

  if (!fk_program_start (&program, argc, argv))
    return 2;
  if (!fk_vms_setup (&vms, program.loop, program.port, &findings))
    {
      fprintf (stderr, "fake-vms: %s\n", findings.rows[0].text);
      return 1;
    }
  if (program.file != NULL && !fk_vms_load (&vms, program.file))
    {
      fprintf (stderr, "fake-vms: %s does not contain a VM list\n",
               program.file);
      return 2;
    }
  fk_program_run (&program, fk_port (&vms.hs));
  fk_vms_shutdown (&vms);
  return 0;
}
