// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

/**
 * A model, of which versions exist. Immutable.
 *
 * @param description for people
 */
public record Model(String description) {}
