#include "cyc_codec.h"

#include <cyclamendrum/jobs.h>

#include <stdlib.h>

/* The protobuf messages of one event and NUL-terminated copies of its
   strings. */
struct event_parts
{
  Cyc__JobEvent event;
  Cyc__JobSubmit submit;
  Cyc__JobCancel cancel;
  Cyc__JobProgress progress;
  Cyc__JobDone done;
  struct cyc_name queue;
  struct cyc_name team;
  struct cyc_name domain;
  char reason[sizeof ((struct cyc_job_row *)NULL)->reason];
};

static bool
fill_submit (struct event_parts *parts, const struct cyc_job_event *event)
{
  Cyc__JobSubmit *submit = &parts->submit;

  *submit = (Cyc__JobSubmit)CYC__JOB_SUBMIT__INIT;
  if (!cyc_name_set (&parts->queue, event->queue)
      || !cyc_name_set (&parts->team, event->team)
      || !cyc_name_set (&parts->domain, event->domain))
    return false;
  submit->job_id
      = cyc_codec_bytes (event->job_id.bytes, sizeof event->job_id.bytes);
  submit->queue = parts->queue.data;
  submit->queue_version = event->queue_version;
  submit->team = parts->team.data;
  submit->domain = parts->domain.data;
  submit->tasks = event->tasks;
  submit->submitted_ms = event->submitted_ms;
  parts->event.event_case = CYC__JOB_EVENT__EVENT_SUBMIT;
  parts->event.submit = submit;
  return true;
}

static bool
fill_done (struct event_parts *parts, const struct cyc_job_event *event)
{
  Cyc__JobDone *done = &parts->done;
  size_t len = event->reason.len;

  *done = (Cyc__JobDone)CYC__JOB_DONE__INIT;
  if (len >= sizeof parts->reason)
    len = sizeof parts->reason - 1;
  for (size_t i = 0; i < len; i++)
    parts->reason[i] = event->reason.data[i];
  parts->reason[len] = '\0';
  done->job_id
      = cyc_codec_bytes (event->job_id.bytes, sizeof event->job_id.bytes);
  done->state = (uint32_t)event->state;
  done->reason = parts->reason;
  done->epoch = event->epoch;
  parts->event.event_case = CYC__JOB_EVENT__EVENT_DONE;
  parts->event.done = done;
  return true;
}

static bool
fill_event (struct event_parts *parts, const struct cyc_job_event *event)
{
  ProtobufCBinaryData id
      = cyc_codec_bytes (event->job_id.bytes, sizeof event->job_id.bytes);

  parts->event = (Cyc__JobEvent)CYC__JOB_EVENT__INIT;
  switch (event->kind)
    {
    case CYC_JOB_EVENT_SUBMIT:
      return fill_submit (parts, event);
    case CYC_JOB_EVENT_CANCEL:
      parts->cancel = (Cyc__JobCancel)CYC__JOB_CANCEL__INIT;
      parts->cancel.job_id = id;
      parts->event.event_case = CYC__JOB_EVENT__EVENT_CANCEL;
      parts->event.cancel = &parts->cancel;
      return true;
    case CYC_JOB_EVENT_PROGRESS:
      parts->progress = (Cyc__JobProgress)CYC__JOB_PROGRESS__INIT;
      parts->progress.job_id = id;
      parts->progress.attempt = event->attempt;
      parts->progress.done
          = cyc_codec_bytes (event->done_bits.data, event->done_bits.len);
      parts->progress.epoch = event->epoch;
      parts->event.event_case = CYC__JOB_EVENT__EVENT_PROGRESS;
      parts->event.progress = &parts->progress;
      return true;
    case CYC_JOB_EVENT_DONE:
      return fill_done (parts, event);
    }
  return false;
}

bool
cyc_rec_jobs (const struct cyc_id128 *id, struct cyc_str writer,
              const struct cyc_job_event *events, uint32_t count,
              struct cyc_str *out)
{
  Cyc__Record record;
  Cyc__JobBatch batch = CYC__JOB_BATCH__INIT;
  struct cyc_name writer_copy;
  struct event_parts *parts = calloc (count + (size_t)1, sizeof *parts);
  Cyc__JobEvent **list = calloc (count + (size_t)1, sizeof (Cyc__JobEvent *));
  bool ok = parts != NULL && list != NULL
            && cyc_codec_init (&record, id, writer, &writer_copy);

  for (uint32_t i = 0; ok && i < count; i++)
    {
      ok = fill_event (&parts[i], &events[i]);
      list[i] = &parts[i].event;
    }
  if (ok)
    {
      batch.events = list;
      batch.n_events = count;
      record.body_case = CYC__RECORD__BODY_JOBS;
      record.jobs = &batch;
      ok = cyc_codec_pack (&record, out);
    }
  free (parts);
  free (list);
  return ok;
}
