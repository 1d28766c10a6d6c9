/** Benchmarks of the production decision code: policies, capacity slopes and JMH benchmarks. */
package org.oatlug.benchmarks;
