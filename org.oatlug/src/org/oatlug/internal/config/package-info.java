/** Merge and replication of published objects, and compiled policies. */
package org.oatlug.internal.config;
