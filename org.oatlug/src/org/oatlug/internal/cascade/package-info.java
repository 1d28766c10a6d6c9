/** Selection of the cascade stage based on rated responses. */
package org.oatlug.internal.cascade;
