/** Tests of how published objects reach every instance. */
package org.oatlug.internal.config;
