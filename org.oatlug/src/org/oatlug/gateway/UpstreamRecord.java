// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalLong;
import org.oatlug.config.Kinds;

/**
 * Registration of one process of an upstream, written by that process. Immutable.
 *
 * @param service the service that it serves
 * @param host the IP address
 * @param port the port
 * @param zone the availability zone
 * @param version the version of its software
 * @param slots the maximum number of concurrently running requests
 * @param leaving whether it is about to shut down
 * @param startedAtMillis the time of its start in milliseconds since 1970, if reported; together
 *     with the name it identifies the process
 * @param coldMillis the remaining duration of the cold start, in milliseconds from the write of the
 *     entry; empty if it is warm
 * @param sequence the number of writes of the entry since the start
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record UpstreamRecord(
    String service,
    String host,
    int port,
    String zone,
    String version,
    int slots,
    boolean leaving,
    OptionalLong startedAtMillis,
    OptionalLong coldMillis,
    long sequence) {

  /** Replaces fields that earlier versions of this software do not write by empty values. */
  public UpstreamRecord {
    startedAtMillis = startedAtMillis == null ? OptionalLong.empty() : startedAtMillis;
    coldMillis = coldMillis == null ? OptionalLong.empty() : coldMillis;
  }

  /** Returns the record of a warm upstream whose start time is unknown. */
  public static UpstreamRecord of(
      String service,
      String host,
      int port,
      String zone,
      String version,
      int slots,
      boolean leaving) {
    return new UpstreamRecord(
        service,
        host,
        port,
        zone,
        version,
        slots,
        leaving,
        OptionalLong.empty(),
        OptionalLong.empty(),
        0);
  }

  /** Returns the same record with this start time, in milliseconds since 1970. */
  public UpstreamRecord startedAt(long millis) {
    return new UpstreamRecord(
        service,
        host,
        port,
        zone,
        version,
        slots,
        leaving,
        OptionalLong.of(millis),
        coldMillis,
        sequence);
  }

  /** Returns the same record with this sequence number. */
  public UpstreamRecord withSequence(long number) {
    return new UpstreamRecord(
        service, host, port, zone, version, slots, leaving, startedAtMillis, coldMillis, number);
  }

  /**
   * Returns a tombstone that keeps the start time and the sequence number of the deleted entry, by
   * which later writes of the upstream are ordered.
   *
   * @param last the content of the entry before its deletion
   */
  public static ObjectNode tombstoneOf(JsonNode last) {
    ObjectNode tombstone = Kinds.tombstone();
    for (String field : List.of("startedAtMillis", "sequence")) {
      if (last.hasNonNull(field)) {
        tombstone.set(field, last.get(field));
      }
    }
    return tombstone;
  }
}
