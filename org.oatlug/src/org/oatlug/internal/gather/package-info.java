// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

/**
 * Exchanges state reports between instances through a collector in each availability zone, which
 * aggregates its zone and replicates the result to the collectors of the other zones.
 */
package org.oatlug.internal.gather;
