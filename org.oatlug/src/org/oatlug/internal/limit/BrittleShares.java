// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.limit;

import java.util.OptionalInt;

/**
 * Divides the places of brittle upstreams, which fall over if they have to reject many requests,
 * among the instances.
 *
 * <p>Load pattern: a rejection is known only after the request was sent, and all instances see the
 * same free places. Therefore each may have only its share of requests open at such an upstream,
 * and all shares together are no more than it runs at the same time, so that nothing depends on how
 * many it lets wait. Where there are fewer places than instances, a few senders by rank have one
 * each. Stateless apart from the limits and senders; used from one event loop.
 */
public final class BrittleShares {
  private final AdvertisedLimits advertised;
  private final SenderSelection senders;

  private BrittleShares(AdvertisedLimits advertised, SenderSelection senders) {
    this.advertised = advertised;
    this.senders = senders;
  }

  /**
   * Returns the shares of one instance.
   *
   * @param advertised the rejections per second that upstreams say they bear
   * @param senders the instances that send to brittle upstreams
   */
  public static BrittleShares create(AdvertisedLimits advertised, SenderSelection senders) {
    return new BrittleShares(advertised, senders);
  }

  /**
   * Returns the number of requests that this instance may have open at the upstream, empty if the
   * upstream is not brittle.
   *
   * @param process the upstream process: the name of the upstream, with its start time if known
   * @param zone the availability zone of the upstream
   * @param places the number of requests that it runs at the same time
   */
  public OptionalInt shareOf(String process, String zone, int places) {
    if (advertised.limitOf(process).isEmpty()) {
      return OptionalInt.empty();
    }
    int senderCount = senders.senderCount(process, zone, Math.max(1, places), 0);
    return OptionalInt.of(senderCount == 0 ? 0 : Math.max(1, places / senderCount));
  }
}
