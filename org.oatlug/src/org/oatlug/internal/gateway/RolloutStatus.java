// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

/**
 * Progress of a roll-out as one instance sees it, for operators. Immutable.
 *
 * @param service the service
 * @param version the version that is rolled out
 * @param part the fraction of the duration that has elapsed; above 1 once it is overdue
 * @param share the share of the sessions that the version receives, 0 to 1
 * @param evidence the logarithm of the evidence against the version, of all instances
 * @param answers the number of answers of the version that all instances have seen
 * @param refuted whether this instance has rejected the version as bad
 */
public record RolloutStatus(
    String service,
    String version,
    double part,
    double share,
    double evidence,
    long answers,
    boolean refuted) {}
