/** One HTTP call with a JSON body; status 0 stands for no answer. */
import {request as open} from 'node:http';

export const request = ({
  address,
  method,
  path,
  headers = {},
  body,
  timeoutMs,
  agent,
}) =>
  new Promise(resolve => {
    const [host, port] = address.split(':');
    const bytes = body === undefined ? undefined : JSON.stringify(body);
    let isOver = false;
    const finish = answer => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      resolve(answer);
    };
    const req = open({
      host,
      port,
      method,
      path,
      agent,
      headers: {
        ...headers,
        ...(bytes !== undefined && {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(bytes),
        }),
      },
    });
    const timer = setTimeout(() => {
      finish({status: 0, text: 'no answer in time'});
      req.destroy();
    }, timeoutMs);
    req.on('error', err => finish({status: 0, text: String(err)}));
    req.on('response', res => {
      let text = '';
      res.on('data', part => (text += part));
      res.on('error', err => finish({status: 0, text: String(err)}));
      res.on('end', () => finish({status: res.statusCode, text}));
    });
    req.end(bytes);
  });
