// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

/**
 * One start of an upstream, as it registered itself. Immutable.
 *
 * @param service the service that it serves
 * @param host the IP number
 * @param port the port
 * @param zone the availability zone
 * @param version the version of its software
 * @param slots how many requests run at once
 * @param leaving whether it is about to go
 */
public record UpstreamRecord(
    String service,
    String host,
    int port,
    String zone,
    String version,
    int slots,
    boolean leaving) {}
