/** The interface to the platform's object API. */
package org.oatlug.platform;
