// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

/**
 * A model that versions belong to. Immutable.
 *
 * @param description a description for operators
 */
public record Model(String description) {}
