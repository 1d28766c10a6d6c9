// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

/**
 * How far a roll-out has come as one instance sees it, for an operator. Immutable.
 *
 * @param service the service
 * @param version the version that is brought in
 * @param part the part of the duration that has passed; above 1 when it is late
 * @param share the share of the sessions that the version gets, 0 to 1
 * @param evidence the logarithm of the evidence against the version, of all instances
 * @param answers how many answers of the version all instances have seen
 * @param refuted whether this instance takes it for bad
 */
public record RolloutStatus(
    String service,
    String version,
    double part,
    double share,
    double evidence,
    long answers,
    boolean refuted) {}
