/** Tests of the replication of published objects to every instance. */
package org.oatlug.internal.config;
