#include "coordination/target_notice.h"

#include <glib.h>
#include <string.h>

void bsh_target_notice_init(bsh_target_notice_t *notice)
{
	memset(notice, 0, sizeof(*notice));
}

/* Drops the notices of an earlier process. */
static void set_process(bsh_target_notice_t *notice, uint64_t process)
{
	if (notice->process == process)
		return;
	bsh_target_notice_init(notice);
	notice->process = process;
}

bool bsh_target_notice_leaving(bsh_target_notice_t *notice, uint64_t process,
			       int64_t now_us)
{
	set_process(notice, process);
	if (notice->leaving_us != 0)
		return false;
	notice->leaving_us = now_us;
	return true;
}

bool bsh_target_notice_is_leaving(const bsh_target_notice_t *notice,
				  uint64_t process)
{
	return notice->process == process && notice->leaving_us != 0;
}

bool bsh_target_notice_has_left(const bsh_target_notice_t *notice,
				uint64_t process, int64_t drain_us,
				int64_t now_us)
{
	/* An attempt that is sent in the last moment takes time to arrive. */
	return bsh_target_notice_is_leaving(notice, process) &&
	       now_us - notice->leaving_us >= drain_us / 2;
}

bool bsh_target_notice_pause(bsh_target_notice_t *notice, uint64_t process,
			     int64_t pause_us, int64_t now_us)
{
	int64_t until_us = now_us + CLAMP(pause_us, 0, BSH_NOTICE_PAUSE_MAX_US);

	set_process(notice, process);
	if (pause_us <= 0 || until_us <= notice->paused_until_us)
		return false;
	notice->paused_until_us = until_us;
	return true;
}

int64_t bsh_target_notice_wait_us(const bsh_target_notice_t *notice,
				  uint64_t process, int64_t now_us)
{
	if (notice->process != process)
		return 0;
	return MAX(notice->paused_until_us - now_us, 0);
}

bool bsh_target_notice_holds(const bsh_target_notice_t *notice, int64_t now_us)
{
	return notice->paused_until_us > now_us ||
	       (notice->leaving_us != 0 &&
		now_us - notice->leaving_us < BSH_NOTICE_LEAVING_MAX_US);
}
