/** Tests of the format of log lines. */
package org.oatlug.internal.log;
