// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.engine;

import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.oatlug.config.Kinds;
import org.oatlug.config.Upstream;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.table.UpstreamRow;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.TickSystem;

/**
 * Polls the load reports of upstreams.
 *
 * <p>Each instance polls at most a fixed number of upstreams, selected by rendezvous rank, so that
 * the cost does not grow with the pool. An upstream that reports that it is leaving is excluded at
 * once. Owned by one event loop, not thread-safe.
 */
public final class LoadSystem implements TickSystem {
  private static final Duration INTERVAL = Duration.ofMillis(1000);
  private static final long TIMEOUT_MILLIS = 800;
  private static final int MAXIMUM_POLLED = 24;
  private static final String PATH = "/load";

  private final String instance;
  private final Tables tables;
  private final WebClient client;
  private final InstantSource clock;
  private final Meters meters;
  private final Consumer<String> onLeaving;
  private final Set<String> pending = new HashSet<>();
  private Instant nextPoll = Instant.EPOCH;

  private LoadSystem(
      String instance,
      Tables tables,
      WebClient client,
      InstantSource clock,
      Meters meters,
      Consumer<String> onLeaving) {
    this.instance = instance;
    this.tables = tables;
    this.client = client;
    this.clock = clock;
    this.meters = meters;
    this.onLeaving = onLeaving;
  }

  /**
   * Returns a system that polls the upstreams of the tables.
   *
   * @param onLeaving receives the name of an upstream when it first reports that it is leaving
   */
  public static LoadSystem create(
      String instance,
      Tables tables,
      WebClient client,
      InstantSource clock,
      Meters meters,
      Consumer<String> onLeaving) {
    return new LoadSystem(instance, tables, client, clock, meters, onLeaving);
  }

  /**
   * A load report of an upstream.
   *
   * @param running the number of running requests
   * @param waiting the number of queued requests
   * @param leaving whether the upstream is about to stop
   */
  public record LoadReport(int running, int waiting, boolean leaving) {}

  @Override
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(nextPoll)) {
      return;
    }
    nextPoll = now.plus(INTERVAL);
    for (String name : polledUpstreams()) {
      tables.catalogue().upstream(name).ifPresent(upstream -> poll(name, upstream));
    }
  }

  private List<String> polledUpstreams() {
    List<String> names = new ArrayList<>(tables.catalogue().names(Kinds.UPSTREAM));
    if (names.size() <= MAXIMUM_POLLED) {
      return names;
    }
    return Hashes.rendezvous(instance, names).subList(0, MAXIMUM_POLLED);
  }

  private void poll(String name, Upstream upstream) {
    if (!pending.add(name)) {
      return;
    }
    client
        .get(upstream.port(), upstream.host(), PATH)
        .timeout(TIMEOUT_MILLIS)
        .send()
        .onComplete(
            response -> received(name, response),
            failure -> {
              pending.remove(name);
              meters.count("upstream.load-report-missing");
            });
  }

  private void received(String name, HttpResponse<Buffer> response) {
    pending.remove(name);
    try {
      LoadReport report = response.bodyAsJson(LoadReport.class);
      UpstreamRow row = tables.upstreams().row(name);
      boolean startsLeaving = report.leaving() && !row.isLeaving();
      tables.upstreams().report(name, report.running(), report.waiting(), report.leaving());
      if (startsLeaving) {
        onLeaving.accept(name);
      }
    } catch (RuntimeException e) {
      meters.count("upstream.load-report-malformed");
    }
  }
}
