#include "connection/peerclock.h"

int
pcl_receive(struct pcl *pcl, int64_t peer_ms, int64_t now_ms)
{
	if (peer_ms <= 0 || peer_ms > PCL_MAX_MS)
		return -1;
	pcl->peer_ms = peer_ms;
	pcl->at_ms = now_ms;
	return 0;
}

int64_t
pcl_estimate_ms(const struct pcl *pcl, int64_t now_ms)
{
	if (pcl->peer_ms == 0)
		return 0;
	return pcl->peer_ms + now_ms - pcl->at_ms;
}
